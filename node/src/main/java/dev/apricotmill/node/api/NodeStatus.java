package dev.apricotmill.node.api;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.coordination.identity.Incarnation;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.coordination.membership.Member;
import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.core.steward.ReplicaLoad;

/**
 * The status of a daemon as shown to operators.
 *
 * @param self its current incarnation
 * @param zone its availability zone
 * @param phase whether it accepts requests
 * @param configurationGeneration the generation of the current configuration, 0 if none
 * @param platformReachable whether the last read from the platform succeeded
 * @param openRequests the number of open requests
 * @param members the daemons that it knows, with the state that it assumes for each
 * @param replicas its view of the replicas in its zone
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

  /** The phases of a daemon's life cycle, in order. */
  public enum Phase {
    /** It has not yet learned the current configuration. */
    STARTING,
    /** It accepts requests. */
    READY,
    /** It completes open requests and accepts no new ones. */
    DRAINING,
    /** All requests have ended; the process may exit. */
    DRAINED
  }

  /**
   * The daemon's view of one replica.
   *
   * @param replica the replica
   * @param steward the name of the daemon that owns it, {@code none} if there is none
   * @param usable whether it may receive new requests
   * @param load its last reported load
   */
  public record ReplicaStatus(
      ReplicaId replica, String steward, boolean usable, ReplicaLoad load) {}
}
