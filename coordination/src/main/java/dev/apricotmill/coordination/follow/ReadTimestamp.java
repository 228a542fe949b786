package dev.apricotmill.coordination.follow;

import java.time.Duration;
import java.util.Optional;

/**
 * The time at which a read was sent, on two clocks. Its result was current at that time or later.
 *
 * <p>The monotonic clock stops while the machine is suspended, and the wall clock can jump. If the
 * ages on the two clocks differ by more than {@link #MAX_CLOCK_DIVERGENCE}, the age is unknown.
 *
 * @param monotonicNanos the time on the monotonic clock in nanoseconds
 * @param wallMillis the time on the wall clock in milliseconds since the Unix epoch
 */
public record ReadTimestamp(long monotonicNanos, long wallMillis) {

  /** Slewing of the wall clock and scheduling delays cause differences up to this. */
  public static final Duration MAX_CLOCK_DIVERGENCE = Duration.ofMillis(400);

  /** Returns whether the age is known and at most {@code bound}. */
  public boolean isFresh(long nowNanos, long nowMillis, Duration bound) {
    return ageOnBothClocks(nowNanos, nowMillis)
        .filter(age -> age.compareTo(bound) <= 0)
        .isPresent();
  }

  /** Returns whether the machine was suspended, or the wall clock jumped, since this time. */
  public boolean clocksDiverge(long nowNanos, long nowMillis) {
    long wallAgeMillis = nowMillis - wallMillis;
    return Math.abs(wallAgeMillis - age(nowNanos).toMillis()) > MAX_CLOCK_DIVERGENCE.toMillis();
  }

  /** Returns the larger of the ages on the two clocks, empty if the clocks diverge. */
  public Optional<Duration> ageOnBothClocks(long nowNanos, long nowMillis) {
    if (clocksDiverge(nowNanos, nowMillis)) {
      return Optional.empty();
    }
    Duration wallAge = Duration.ofMillis(nowMillis - wallMillis);
    return Optional.of(wallAge.compareTo(age(nowNanos)) > 0 ? wallAge : age(nowNanos));
  }

  /** Returns the age on the monotonic clock. */
  public Duration age(long nowNanos) {
    return Duration.ofNanos(nowNanos - monotonicNanos);
  }

  /** Returns the time {@code duration} before this one. */
  public ReadTimestamp minus(Duration duration) {
    return new ReadTimestamp(monotonicNanos - duration.toNanos(), wallMillis - duration.toMillis());
  }

  /** Returns whether this time is later than {@code other} on the monotonic clock. */
  public boolean isAfter(ReadTimestamp other) {
    return monotonicNanos - other.monotonicNanos > 0;
  }
}
