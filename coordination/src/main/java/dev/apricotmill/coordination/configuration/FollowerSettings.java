package dev.apricotmill.coordination.configuration;

import dev.apricotmill.coordination.retry.Backoff;
import java.time.Duration;

/**
 * Intervals and bounds of a {@link ConfigurationFollower}.
 *
 * @param tickInterval how often a daemon looks whether it is its turn to watch
 * @param rotationPeriod how long the same daemons of a zone watch the platform
 * @param watchersPerZone how many daemons of a zone watch at a time
 * @param callTimeout how long a call on the platform may take
 * @param fetchTimeout how long a fetch from a peer may take
 * @param peersQueried how many peers a fresh daemon asks in one round while the platform is silent
 * @param backoff the delays between attempts while the platform is silent
 */
public record FollowerSettings(
    Duration tickInterval,
    Duration rotationPeriod,
    int watchersPerZone,
    Duration callTimeout,
    Duration fetchTimeout,
    int peersQueried,
    Backoff backoff) {

  private static final int WATCHERS_PER_ZONE = 2;
  private static final int PEERS_QUERIED = 6;

  /** Returns the settings for a deployment with about a millisecond between zones. */
  public static FollowerSettings defaults() {
    return new FollowerSettings(
        Duration.ofMillis(500),
        Duration.ofSeconds(4),
        WATCHERS_PER_ZONE,
        Duration.ofSeconds(1),
        Duration.ofSeconds(1),
        PEERS_QUERIED,
        new Backoff(Duration.ofMillis(250), Duration.ofSeconds(4)));
  }
}
