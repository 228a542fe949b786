package dev.apricotmill.core.retry;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Bounds repeats to a part of the requests, so that a failing pool is not flooded by them.
 *
 * <p>Safe for use by several threads.
 */
public final class RetryBudget {

  private static final long REPEAT_COST = 10;
  private static final long REQUEST_CREDIT = 1;
  private static final long MOST_CREDIT = 100 * REPEAT_COST;
  private static final long FIRST_CREDIT = 10 * REPEAT_COST;

  private final AtomicLong credit = new AtomicLong(FIRST_CREDIT);

  /** Notes a new request, which earns a tenth of a repeat. */
  public void onRequest() {
    credit.updateAndGet(current -> Math.min(MOST_CREDIT, current + REQUEST_CREDIT));
  }

  /** Takes one repeat; returns false if none is left. */
  public boolean tryTake() {
    long before =
        credit.getAndUpdate(current -> current >= REPEAT_COST ? current - REPEAT_COST : current);
    return before >= REPEAT_COST;
  }
}
