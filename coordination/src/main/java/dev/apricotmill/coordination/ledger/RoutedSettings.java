package dev.apricotmill.coordination.ledger;

import java.time.Duration;

/**
 * The times of {@link RoutedClaims}.
 *
 * @param requestTimeout how long the usual writer of a shard has to answer
 * @param unresponsiveCoolDown how long a writer that did not answer is passed over
 * @param claimValidity how long after its claim a dispatch may begin
 */
public record RoutedSettings(
    Duration requestTimeout, Duration unresponsiveCoolDown, Duration claimValidity) {

  /** Returns the settings for a deployment with about a millisecond between zones. */
  public static RoutedSettings defaults() {
    return new RoutedSettings(Duration.ofMillis(700), Duration.ofSeconds(3), Duration.ofSeconds(5));
  }
}
