package dev.apricotmill.coordination.platform;

import dev.apricotmill.coordination.retry.Backoff;
import java.time.Duration;

/**
 * Timeouts of a {@link ConditionalWriter}.
 *
 * @param callTimeout the timeout of one call to the platform
 * @param resolveTimeout how long the writer tries to resolve an update whose response was lost
 * @param backoff the delays between these attempts
 */
public record WriterSettings(Duration callTimeout, Duration resolveTimeout, Backoff backoff) {

  /** Returns the settings for a platform that responds within milliseconds. */
  public static WriterSettings defaults() {
    return new WriterSettings(
        Duration.ofSeconds(1),
        Duration.ofSeconds(10),
        new Backoff(Duration.ofMillis(100), Duration.ofSeconds(2)));
  }
}
