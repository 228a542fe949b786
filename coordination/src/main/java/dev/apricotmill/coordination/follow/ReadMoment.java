package dev.apricotmill.coordination.follow;

import java.time.Duration;
import java.util.Optional;

/**
 * When a read was sent, on two clocks. What it answered was true at that moment or later.
 *
 * <p>The steady clock stands still while the machine is suspended, and the time of day jumps. A
 * moment whose ages on the two clocks differ by more than {@link #LARGEST_DIFFERENCE} proves
 * nothing.
 *
 * @param steadyNanos the steady clock
 * @param wallMillis the time of day in milliseconds of Unix time
 */
public record ReadMoment(long steadyNanos, long wallMillis) {

  /** Differences up to this come from slewing of the clock and from scheduling. */
  public static final Duration LARGEST_DIFFERENCE = Duration.ofMillis(400);

  /** Returns whether the moment was at most {@code bound} ago. */
  public boolean isFresh(long nowNanos, long nowMillis, Duration bound) {
    return ageOnBothClocks(nowNanos, nowMillis)
        .filter(age -> age.compareTo(bound) <= 0)
        .isPresent();
  }

  /** Returns whether a suspension or a jump of the time of day lies between the moment and now. */
  public boolean clocksDiffer(long nowNanos, long nowMillis) {
    long wallAgeMillis = nowMillis - wallMillis;
    return Math.abs(wallAgeMillis - age(nowNanos).toMillis()) > LARGEST_DIFFERENCE.toMillis();
  }

  /** Returns the larger of the ages on the two clocks, empty if they contradict each other. */
  public Optional<Duration> ageOnBothClocks(long nowNanos, long nowMillis) {
    if (clocksDiffer(nowNanos, nowMillis)) {
      return Optional.empty();
    }
    Duration wallAge = Duration.ofMillis(nowMillis - wallMillis);
    return Optional.of(wallAge.compareTo(age(nowNanos)) > 0 ? wallAge : age(nowNanos));
  }

  /** Returns the age on the steady clock. */
  public Duration age(long nowNanos) {
    return Duration.ofNanos(nowNanos - steadyNanos);
  }

  /** Returns the moment that lies {@code difference} before this one. */
  public ReadMoment before(Duration difference) {
    return new ReadMoment(steadyNanos - difference.toNanos(), wallMillis - difference.toMillis());
  }

  /** Returns whether this moment is later than another one, on the steady clock. */
  public boolean isAfter(ReadMoment other) {
    return steadyNanos - other.steadyNanos > 0;
  }
}
