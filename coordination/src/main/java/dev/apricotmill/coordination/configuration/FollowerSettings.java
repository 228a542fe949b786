package dev.apricotmill.coordination.configuration;

import dev.apricotmill.coordination.retry.Backoff;
import java.time.Duration;

/**
 * Intervals and limits of a {@link ConfigurationFollower}.
 *
 * @param tickInterval the interval at which a daemon checks whether it is a watcher
 * @param rotationPeriod how long the same daemons of a zone watch the platform
 * @param watchersPerZone how many daemons of a zone watch at the same time
 * @param callTimeout the timeout of a call to the platform
 * @param fetchTimeout the timeout of a fetch from a peer
 * @param peersQueried how many peers a daemon that is not ready queries per round while the
 *     platform does not answer
 * @param backoff the delays between attempts while the platform does not answer
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

  /** Returns the settings for a deployment with a latency of about 1 ms between zones. */
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
