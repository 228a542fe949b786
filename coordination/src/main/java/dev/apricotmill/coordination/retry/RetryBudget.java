package dev.apricotmill.coordination.retry;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Limits retries to a fraction of the requests, so that they cannot multiply the load on a failing
 * back end.
 *
 * <p>Each request adds a fraction of a retry to the budget, and each retry takes a whole one. The
 * budget starts full, so that a daemon with few requests can retry too. Thread-safe and lock-free.
 */
public final class RetryBudget {

  private static final long UNITS_PER_RETRY = 1_000;

  private final long unitsPerRequest;
  private volatile long capacityUnits;
  private final AtomicLong availableUnits;

  /**
   * Creates a full budget.
   *
   * @param retriesPerThousandRequests retries that 1000 requests add, 0 to 1000
   * @param capacityRetries the maximum number of unused retries, at least 1
   */
  public RetryBudget(int retriesPerThousandRequests, int capacityRetries) {
    if (retriesPerThousandRequests < 0
        || retriesPerThousandRequests > UNITS_PER_RETRY
        || capacityRetries < 1) {
      throw new IllegalArgumentException(
          "expected 0 to 1000 retries per 1000 requests and a capacity of at least 1, got "
              + retriesPerThousandRequests
              + " and "
              + capacityRetries);
    }
    this.unitsPerRequest = retriesPerThousandRequests;
    this.capacityUnits = capacityRetries * UNITS_PER_RETRY;
    this.availableUnits = new AtomicLong(capacityUnits);
  }

  /** Changes the maximum number of unused retries, at least 1; an increase adds no retries. */
  public void changeCapacity(int capacityRetries) {
    long newCapacityUnits = Math.max(1, capacityRetries) * UNITS_PER_RETRY;
    capacityUnits = newCapacityUnits;
    availableUnits.getAndUpdate(units -> Math.min(newCapacityUnits, units));
  }

  /** Records a request, which adds a fraction of a retry. */
  public void onRequest() {
    availableUnits.getAndUpdate(units -> Math.min(capacityUnits, units + unitsPerRequest));
  }

  /** Takes one retry from the budget; returns false if less than one is left. */
  public boolean tryTake() {
    long previousUnits =
        availableUnits.getAndUpdate(
            units -> units >= UNITS_PER_RETRY ? units - UNITS_PER_RETRY : units);
    return previousUnits >= UNITS_PER_RETRY;
  }
}
