package dev.apricotmill.coordination.membership;

import java.time.Duration;

/**
 * The intervals and limits of a {@link Membership}.
 *
 * @param probeInterval how often a daemon probes
 * @param probeTimeout how long a prober waits for the response
 * @param suspicionTimeout how long a suspect has to answer before it is declared dead
 * @param successors how many successors on its zone's ring a daemon probes, one in each interval
 * @param indirectProbers how many peers probe an unresponsive peer indirectly
 * @param updatesPerProbe the maximum number of members described in one probe
 * @param remoteProbers how many daemons of a zone probe each of the other zones
 * @param pauseThreshold the gap between two ticks above which this process counts as paused
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

  /** Returns the settings for a deployment with a latency of about 1 ms between zones. */
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
