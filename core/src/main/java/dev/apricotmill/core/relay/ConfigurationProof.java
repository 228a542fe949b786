package dev.apricotmill.core.relay;

import java.time.Duration;

/**
 * The moment at which a configuration was known to be the newest, on two clocks.
 *
 * <p>The steady clock stands still while the machine is suspended, and the time of day jumps. A
 * proof whose ages on the two clocks differ by more than {@link #LARGEST_DIFFERENCE} proves
 * nothing.
 *
 * @param steadyNanos the steady clock when the read was sent whose answer is the proof
 * @param wallMillis the time of day at that moment, in milliseconds of Unix time
 */
public record ConfigurationProof(long steadyNanos, long wallMillis) {

  /** Differences up to this come from slewing of the clock and from scheduling. */
  public static final Duration LARGEST_DIFFERENCE = Duration.ofMillis(400);

  /** Returns whether the configuration was the newest at most {@code bound} ago. */
  public boolean isFresh(long nowNanos, long nowMillis, Duration bound) {
    return !clocksDiffer(nowNanos, nowMillis)
        && nowNanos - steadyNanos <= bound.toNanos()
        && nowMillis - wallMillis <= bound.toMillis();
  }

  /** Returns whether a suspension or a jump of the time of day lies between the proof and now. */
  public boolean clocksDiffer(long nowNanos, long nowMillis) {
    long steadyAgeMillis = Duration.ofNanos(nowNanos - steadyNanos).toMillis();
    long wallAgeMillis = nowMillis - wallMillis;
    return Math.abs(wallAgeMillis - steadyAgeMillis) > LARGEST_DIFFERENCE.toMillis();
  }

  /** Returns the age on the steady clock. */
  public Duration age(long nowNanos) {
    return Duration.ofNanos(nowNanos - steadyNanos);
  }
}
