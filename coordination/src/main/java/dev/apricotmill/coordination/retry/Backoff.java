package dev.apricotmill.coordination.retry;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Exponential back-off. The upper bound of the delay doubles with each failure up to a maximum; the
 * delay is random between half the bound and the bound, so that processes that failed together do
 * not retry together.
 *
 * @param initial the upper bound of the first delay
 * @param maximum the upper bound of all delays
 */
public record Backoff(Duration initial, Duration maximum) {

  private static final int MAX_DOUBLINGS = 30;

  /** Checks that the bounds are positive and that {@code initial} is not the larger one. */
  public Backoff {
    if (initial.isNegative() || initial.isZero() || maximum.compareTo(initial) < 0) {
      throw new IllegalArgumentException(
          "back-off needs 0 < initial <= maximum, got initial " + initial + ", maximum " + maximum);
    }
  }

  /** Returns the delay before the next attempt after {@code failures} failed ones. */
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
