package dev.apricotmill.coordination.follow;

import java.time.Duration;
import java.util.Optional;

/**
 * When a read was sent, on two clocks. What it answered was true at that moment or later.
 *
 * <p>The steady clock stands still while the machine is suspended, and the time of day jumps. A
 * moment whose ages on the two clocks differ by more than {@link #MAX_CLOCK_DIVERGENCE} proves
 * nothing.
 *
 * @param monotonicNanos the steady clock
 * @param wallMillis the time of day in milliseconds of Unix time
 */
public record ReadTimestamp(long monotonicNanos, long wallMillis) {

  /** Differences up to this come from slewing of the clock and from scheduling. */
  public static final Duration MAX_CLOCK_DIVERGENCE = Duration.ofMillis(400);

  /** Returns whether the moment was at most {@code bound} ago. */
  public boolean isFresh(long nowNanos, long nowMillis, Duration bound) {
    return ageOnBothClocks(nowNanos, nowMillis)
        .filter(age -> age.compareTo(bound) <= 0)
        .isPresent();
  }

  /** Returns whether a suspension or a jump of the time of day lies between the moment and now. */
  public boolean clocksDiverge(long nowNanos, long nowMillis) {
    long wallAgeMillis = nowMillis - wallMillis;
    return Math.abs(wallAgeMillis - age(nowNanos).toMillis()) > MAX_CLOCK_DIVERGENCE.toMillis();
  }

  /** Returns the larger of the ages on the two clocks, empty if they contradict each other. */
  public Optional<Duration> ageOnBothClocks(long nowNanos, long nowMillis) {
    if (clocksDiverge(nowNanos, nowMillis)) {
      return Optional.empty();
    }
    Duration wallAge = Duration.ofMillis(nowMillis - wallMillis);
    return Optional.of(wallAge.compareTo(age(nowNanos)) > 0 ? wallAge : age(nowNanos));
  }

  /** Returns the age on the steady clock. */
  public Duration age(long nowNanos) {
    return Duration.ofNanos(nowNanos - monotonicNanos);
  }

  /** Returns the moment that lies {@code difference} before this one. */
  public ReadTimestamp minus(Duration duration) {
    return new ReadTimestamp(monotonicNanos - duration.toNanos(), wallMillis - duration.toMillis());
  }

  /** Returns whether this moment is later than another one, on the steady clock. */
  public boolean isAfter(ReadTimestamp other) {
    return monotonicNanos - other.monotonicNanos > 0;
  }
}
