package dev.apricotmill.coordination.follow;

import java.time.Duration;

/**
 * Bounds of following a prefix.
 *
 * @param watchWait how long a watch waits for a change; also how late a silent connection is
 *     noticed
 * @param listTimeout how long a list may take
 * @param firstDelay the pause after a first failure
 * @param longestDelay the longest pause after repeated failures
 * @param gathering the pause after a change, so that changes close together take one watch
 * @param freshness how old the last proof may become while any source can be reached
 */
public record FollowSettings(
    Duration watchWait,
    Duration listTimeout,
    Duration firstDelay,
    Duration longestDelay,
    Duration gathering,
    Duration freshness) {

  /** A proof is up to two waits old, which leaves the rest of the bound to the others' turns. */
  private static final double WAIT_PER_BOUND = 0.3;

  private static final Duration LIST_TIMEOUT = Duration.ofMillis(1500);
  private static final Duration FIRST_DELAY = Duration.ofMillis(100);
  private static final Duration LONGEST_DELAY = Duration.ofMillis(800);
  private static final int GATHERINGS_PER_BOUND = 10;

  /** Returns settings with which each change is known within {@code bound}. */
  public static FollowSettings within(Duration bound) {
    return new FollowSettings(
        Duration.ofMillis((long) (bound.toMillis() * WAIT_PER_BOUND)),
        LIST_TIMEOUT,
        FIRST_DELAY,
        LONGEST_DELAY,
        bound.dividedBy(GATHERINGS_PER_BOUND),
        bound);
  }
}
