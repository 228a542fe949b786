package dev.apricotmill.coordination.retry;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Bounds retries to a share of the requests, so that they cannot multiply the load of a back end
 * that fails.
 *
 * <p>Each request adds a fraction of a retry, each retry takes a whole one. A reserve lets a daemon
 * with few requests retry at all. Safe for use by several threads without a lock.
 */
public final class RetryBudget {

  private static final long UNITS_PER_RETRY = 1_000;

  private final long unitsPerRequest;
  private volatile long capacityUnits;
  private final AtomicLong availableUnits;

  /**
   * Creates a full budget.
   *
   * @param retriesPerThousandRequests retries that each request adds, in thousandths, 0 to 1000
   * @param capacityRetries the most retries that can be saved up, at least 1
   */
  public RetryBudget(int retriesPerThousandRequests, int capacityRetries) {
    if (retriesPerThousandRequests < 0
        || retriesPerThousandRequests > UNITS_PER_RETRY
        || capacityRetries < 1) {
      throw new IllegalArgumentException(
          "bad retry budget: " + retriesPerThousandRequests + ", " + capacityRetries);
    }
    this.unitsPerRequest = retriesPerThousandRequests;
    this.capacityUnits = capacityRetries * UNITS_PER_RETRY;
    this.availableUnits = new AtomicLong(capacityUnits);
  }

  /** Changes how many retries can be saved up; room that is added is empty at first. */
  public void changeCapacity(int capacityRetries) {
    long newCapacityUnits = Math.max(1, capacityRetries) * UNITS_PER_RETRY;
    capacityUnits = newCapacityUnits;
    availableUnits.getAndUpdate(units -> Math.min(newCapacityUnits, units));
  }

  /** Notes a request, which earns a part of a retry. */
  public void onRequest() {
    availableUnits.getAndUpdate(units -> Math.min(capacityUnits, units + unitsPerRequest));
  }

  /** Takes one retry from the budget; returns false if there is none. */
  public boolean tryTake() {
    long previousUnits =
        availableUnits.getAndUpdate(
            units -> units >= UNITS_PER_RETRY ? units - UNITS_PER_RETRY : units);
    return previousUnits >= UNITS_PER_RETRY;
  }
}
