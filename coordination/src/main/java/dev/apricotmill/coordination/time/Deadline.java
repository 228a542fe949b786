package dev.apricotmill.coordination.time;

import java.time.Duration;

/**
 * The time on this process's monotonic clock after which the response to a request is of no use.
 *
 * <p>Monotonic clocks of two processes cannot be compared, so a message to another process carries
 * the {@linkplain #remaining remaining} time instead.
 *
 * @param atNanos the monotonic time of the deadline in nanoseconds
 */
public record Deadline(long atNanos) {

  /** Returns the time left at {@code nowNanos}, zero if the deadline has passed. */
  public Duration remaining(long nowNanos) {
    return Duration.ofNanos(Math.max(0, atNanos - nowNanos));
  }

  /** Returns whether the deadline has passed at {@code nowNanos}. */
  public boolean hasPassed(long nowNanos) {
    return atNanos - nowNanos <= 0;
  }
}
