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

  private static final long RETRY = 1_000;

  private final long gainPerRequest;
  private volatile long capacity;
  private final AtomicLong available;

  /**
   * Creates a full budget.
   *
   * @param retriesPerRequest retries that each request adds, in thousandths, 0 to 1000
   * @param capacityInRetries the most retries that can be saved up, at least 1
   */
  public RetryBudget(int retriesPerRequest, int capacityInRetries) {
    if (retriesPerRequest < 0 || retriesPerRequest > RETRY || capacityInRetries < 1) {
      throw new IllegalArgumentException(
          "bad retry budget: " + retriesPerRequest + ", " + capacityInRetries);
    }
    this.gainPerRequest = retriesPerRequest;
    this.capacity = capacityInRetries * RETRY;
    this.available = new AtomicLong(capacity);
  }

  /** Changes how many retries can be saved up; room that is added is empty at first. */
  public void changeCapacity(int capacityInRetries) {
    long changed = Math.max(1, capacityInRetries) * RETRY;
    capacity = changed;
    available.getAndUpdate(now -> Math.min(changed, now));
  }

  /** Notes a request, which earns a part of a retry. */
  public void onRequest() {
    available.getAndUpdate(now -> Math.min(capacity, now + gainPerRequest));
  }

  /** Takes one retry from the budget; returns false if there is none. */
  public boolean tryTake() {
    long before = available.getAndUpdate(now -> now >= RETRY ? now - RETRY : now);
    return before >= RETRY;
  }
}
