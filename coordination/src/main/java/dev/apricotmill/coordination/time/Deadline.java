package dev.apricotmill.coordination.time;

import java.time.Duration;

/**
 * A point on one process's monotonic clock after which a request's answer is worthless.
 *
 * <p>A deadline never leaves its process: a hop carries the {@linkplain #remaining remaining} time.
 *
 * @param atNanos the monotonic time of the deadline in nanoseconds
 */
public record Deadline(long atNanos) {

  /** Returns the time left at {@code nowNanos}, zero if it has passed. */
  public Duration remaining(long nowNanos) {
    return Duration.ofNanos(Math.max(0, atNanos - nowNanos));
  }

  /** Returns whether the deadline has passed at {@code nowNanos}. */
  public boolean hasPassed(long nowNanos) {
    return atNanos - nowNanos <= 0;
  }
}
