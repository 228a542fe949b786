package dev.apricotmill.coordination.follow;

import java.time.Duration;

/**
 * Limits for following a prefix.
 *
 * @param watchWait how long a watch waits for a change; also how long an unresponsive connection
 *     can stay undetected
 * @param listTimeout how long a list may take
 * @param initialBackoff the delay after the first failure
 * @param maxBackoff the maximum delay after repeated failures, multiplied by one plus the rank
 * @param batchDelay the delay after a change, so that one watch returns changes close together
 * @param maxStaleness the maximum age of the last validation while any source can be reached
 */
public record FollowSettings(
    Duration watchWait,
    Duration listTimeout,
    Duration initialBackoff,
    Duration maxBackoff,
    Duration batchDelay,
    Duration maxStaleness) {

  /** A validation can be two waits old; the rest of the bound covers the other ranks' reads. */
  private static final double WATCH_WAIT_FRACTION = 0.3;

  private static final Duration LIST_TIMEOUT = Duration.ofMillis(1500);
  private static final Duration INITIAL_BACKOFF = Duration.ofMillis(100);
  private static final Duration MAX_BACKOFF = Duration.ofMillis(800);
  private static final int BATCHES_PER_BOUND = 10;

  /** Returns settings with which each change becomes known within {@code bound}. */
  public static FollowSettings within(Duration bound) {
    return new FollowSettings(
        Duration.ofMillis((long) (bound.toMillis() * WATCH_WAIT_FRACTION)),
        LIST_TIMEOUT,
        INITIAL_BACKOFF,
        MAX_BACKOFF,
        bound.dividedBy(BATCHES_PER_BOUND),
        bound);
  }
}
