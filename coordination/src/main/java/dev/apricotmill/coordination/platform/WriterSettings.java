package dev.apricotmill.coordination.platform;

import dev.apricotmill.coordination.retry.Backoff;
import java.time.Duration;

/**
 * Timeouts of a {@link ConditionalWriter}.
 *
 * @param callTimeout how long one call on the platform may take
 * @param resolveTimeout how long a lost answer is followed up
 * @param backoff the delays between attempts to follow it up
 */
public record WriterSettings(Duration callTimeout, Duration resolveTimeout, Backoff backoff) {

  /** Returns settings for a platform that answers in milliseconds. */
  public static WriterSettings defaults() {
    return new WriterSettings(
        Duration.ofSeconds(1),
        Duration.ofSeconds(10),
        new Backoff(Duration.ofMillis(100), Duration.ofSeconds(2)));
  }
}
