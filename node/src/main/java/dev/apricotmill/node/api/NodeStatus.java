package dev.apricotmill.node.api;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.coordination.identity.Incarnation;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.coordination.membership.Member;
import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.core.steward.StewardLoad;

/**
 * What a daemon tells operators of itself.
 *
 * @param self its current life
 * @param zone its availability zone
 * @param phase whether it takes requests
 * @param configurationGeneration the generation in force, zero if none
 * @param platformReachable whether the platform answered lately
 * @param openRequests requests that callers wait for
 * @param members what it believes of the daemons
 * @param replicas the replicas of its zone as it sees them
 */
public record NodeStatus(
    Incarnation self,
    Zone zone,
    Phase phase,
    long configurationGeneration,
    boolean platformReachable,
    int openRequests,
    ImmutableList<Member> members,
    ImmutableList<ReplicaStatus> replicas) {

  /** Whether a daemon takes requests. */
  public enum Phase {
    /** It has not yet learned the configuration in force. */
    STARTING,
    /** It takes requests. */
    READY,
    /** It finishes open requests and takes no new ones. */
    DRAINING,
    /** All requests have ended; the process may exit. */
    DRAINED
  }

  /**
   * One replica as the daemon sees it.
   *
   * @param replica the replica
   * @param steward the name of the daemon that owns it
   * @param usable whether it may get new work
   * @param load its load when last heard of
   */
  public record ReplicaStatus(
      ReplicaId replica, String steward, boolean usable, StewardLoad load) {}
}
