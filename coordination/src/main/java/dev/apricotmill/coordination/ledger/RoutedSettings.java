package dev.apricotmill.coordination.ledger;

import java.time.Duration;

/**
 * The timeouts of {@link RoutedClaims}.
 *
 * @param requestTimeout how long to wait for a response of a shard's preferred writer
 * @param unresponsiveCoolDown how long a writer that did not respond gets no requests
 * @param claimValidity how long after the claim a dispatch may begin
 */
public record RoutedSettings(
    Duration requestTimeout, Duration unresponsiveCoolDown, Duration claimValidity) {

  /** Returns settings for a deployment with a latency of about a millisecond between zones. */
  public static RoutedSettings defaults() {
    return new RoutedSettings(Duration.ofMillis(700), Duration.ofSeconds(3), Duration.ofSeconds(5));
  }
}
