package dev.apricotmill.coordination.lease;

import dev.apricotmill.coordination.platform.WriterSettings;
import dev.apricotmill.coordination.retry.Backoff;
import java.time.Duration;

/**
 * The times of a lease.
 *
 * @param duration how long an unrenewed lease stays with its holder
 * @param renewInterval how often the holder renews it
 * @param pollInterval how often the others look at it
 * @param writer the timeouts of the updates
 */
public record LeaseSettings(
    Duration duration, Duration renewInterval, Duration pollInterval, WriterSettings writer) {

  /** Checks that a lease is renewed before it runs out. */
  public LeaseSettings {
    if (renewInterval.compareTo(duration) >= 0) {
      throw new IllegalArgumentException("the lease would run out before it is renewed");
    }
  }

  /** Returns settings with which a dead holder is replaced within about ten seconds. */
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
