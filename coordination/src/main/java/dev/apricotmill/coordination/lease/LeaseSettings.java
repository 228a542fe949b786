package dev.apricotmill.coordination.lease;

import dev.apricotmill.coordination.platform.WriterSettings;
import dev.apricotmill.coordination.retry.Backoff;
import java.time.Duration;

/**
 * Durations and timeouts of a lease.
 *
 * @param duration how long the lease lasts without renewal
 * @param renewInterval the interval at which the holder renews it
 * @param pollInterval the interval at which the other processes read it
 * @param writer the timeouts of conditional updates
 */
public record LeaseSettings(
    Duration duration, Duration renewInterval, Duration pollInterval, WriterSettings writer) {

  /** Checks that a lease is renewed before it expires. */
  public LeaseSettings {
    if (renewInterval.compareTo(duration) >= 0) {
      throw new IllegalArgumentException(
          "renewInterval must be shorter than duration, got " + renewInterval + " and " + duration);
    }
  }

  /** Returns settings with which a failed holder is replaced within about 10 seconds. */
  public static LeaseSettings defaults() {
    return new LeaseSettings(
        Duration.ofSeconds(8),
        Duration.ofSeconds(2),
        Duration.ofSeconds(1),
        new WriterSettings(
            Duration.ofSeconds(1),
            Duration.ofSeconds(4),
            new Backoff(Duration.ofMillis(100), Duration.ofSeconds(1))));
  }
}
