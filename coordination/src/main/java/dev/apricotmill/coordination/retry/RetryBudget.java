package dev.apricotmill.coordination.retry;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Bounds retries to a ratio of the requests, so that a failing back end is not buried under them.
 *
 * <p>Every request earns a fraction of a retry, every retry spends a whole one. What was earned and
 * not spent is kept up to a maximum, and a full reserve is there at the start, so that a service
 * with few requests may still retry.
 */
public final class RetryBudget {

  private static final long UNITS_PER_RETRY = 1000;

  private final long earnedPerRequest;
  private final long maximum;
  private final AtomicLong available;

  /**
   * Makes a budget with a full reserve.
   *
   * @param retriesPerRequest the ratio of retries to requests in the long run
   * @param reserve the largest number of retries that can be saved up
   */
  public RetryBudget(double retriesPerRequest, int reserve) {
    if (!(retriesPerRequest >= 0 && retriesPerRequest <= 1) || reserve < 0) {
      throw new IllegalArgumentException("bad retry budget");
    }
    this.earnedPerRequest = Math.round(retriesPerRequest * UNITS_PER_RETRY);
    this.maximum = reserve * UNITS_PER_RETRY;
    this.available = new AtomicLong(maximum);
  }

  /** Counts a first attempt. */
  public void onRequest() {
    available.updateAndGet(value -> Math.min(maximum, value + earnedPerRequest));
  }

  /** Takes one retry from the budget, and returns whether there was one. */
  public boolean tryRetry() {
    long before =
        available.getAndUpdate(value -> value >= UNITS_PER_RETRY ? value - UNITS_PER_RETRY : value);
    return before >= UNITS_PER_RETRY;
  }
}
