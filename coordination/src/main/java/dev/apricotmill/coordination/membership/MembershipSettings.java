package dev.apricotmill.coordination.membership;

import java.time.Duration;

/**
 * The intervals and bounds of a {@link Membership}.
 *
 * @param probeInterval how often a daemon probes
 * @param probeTimeout how long it waits for an answer
 * @param suspicionTimeout how long a suspect may refute before it is declared dead
 * @param successors how many ring successors of its zone a daemon probes in each interval
 * @param indirectProbers through how many peers a silent peer is probed indirectly
 * @param updatesPerProbe the largest number of members named in one probe
 * @param remoteProbers how many daemons of a zone probe each other zone
 * @param pauseThreshold a gap between two ticks beyond which this process counts as paused
 * @param deadRetention how long a dead daemon is remembered
 */
public record MembershipSettings(
    Duration probeInterval,
    Duration probeTimeout,
    Duration suspicionTimeout,
    int successors,
    int indirectProbers,
    int updatesPerProbe,
    int remoteProbers,
    Duration pauseThreshold,
    Duration deadRetention) {

  private static final int SUCCESSORS = 3;
  private static final int INDIRECT_PROBERS = 2;
  private static final int UPDATES_PER_PROBE = 12;
  private static final int REMOTE_PROBERS = 2;

  /** Returns the settings for a deployment with about a millisecond between zones. */
  public static MembershipSettings defaults() {
    return new MembershipSettings(
        Duration.ofMillis(500),
        Duration.ofMillis(300),
        Duration.ofMillis(1500),
        SUCCESSORS,
        INDIRECT_PROBERS,
        UPDATES_PER_PROBE,
        REMOTE_PROBERS,
        Duration.ofMillis(1500),
        Duration.ofMinutes(5));
  }
}
