package dev.apricotmill.coordination.follow;

import java.time.Duration;

/**
 * Bounds of following a prefix.
 *
 * @param watchWait how long a watch waits for a change; also how late a silent connection is
 *     noticed
 * @param listTimeout how long a list may take
 * @param initialBackoff the pause after a first failure
 * @param maxBackoff the longest pause after repeated failures
 * @param batchDelay the pause after a change, so that changes close together take one watch
 * @param maxStaleness how old the last proof may become while any source can be reached
 */
public record FollowSettings(
    Duration watchWait,
    Duration listTimeout,
    Duration initialBackoff,
    Duration maxBackoff,
    Duration batchDelay,
    Duration maxStaleness) {

  /** A proof is up to two waits old, which leaves the rest of the bound to the others' turns. */
  private static final double WATCH_WAIT_FRACTION = 0.3;

  private static final Duration LIST_TIMEOUT = Duration.ofMillis(1500);
  private static final Duration INITIAL_BACKOFF = Duration.ofMillis(100);
  private static final Duration MAX_BACKOFF = Duration.ofMillis(800);
  private static final int BATCHES_PER_BOUND = 10;

  /** Returns settings with which each change is known within {@code bound}. */
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
