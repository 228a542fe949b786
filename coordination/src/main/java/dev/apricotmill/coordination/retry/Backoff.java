package dev.apricotmill.coordination.retry;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Delays between attempts that double up to a maximum, with jitter so that many processes which
 * failed together do not return together.
 *
 * @param initial the upper bound of the first delay
 * @param maximum the upper bound of all delays
 */
public record Backoff(Duration initial, Duration maximum) {

  private static final int MAX_DOUBLINGS = 30;

  /** Checks that the delays are positive and in order. */
  public Backoff {
    if (initial.isNegative() || initial.isZero() || maximum.compareTo(initial) < 0) {
      throw new IllegalArgumentException("bad back-off: " + initial + " to " + maximum);
    }
  }

  /** Returns the delay before the attempt that follows {@code failures} failed ones. */
  public Duration delay(int failures, RandomGenerator random) {
    long bound = boundNanos(Math.max(1, failures));
    return Duration.ofNanos(bound / 2 + random.nextLong(bound / 2 + 1));
  }

  private long boundNanos(int failures) {
    long multiplier = 1L << Math.min(failures - 1, MAX_DOUBLINGS);
    long initialNanos = initial.toNanos();
    long maximumNanos = maximum.toNanos();
    return multiplier > maximumNanos / initialNanos ? maximumNanos : initialNanos * multiplier;
  }
}
