package dev.apricotmill.node;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.node.api.NodeStatus;
import dev.apricotmill.node.fleet.FleetView;
import dev.apricotmill.node.fleet.ReplicaLoads;
import dev.apricotmill.node.fleet.ReplicaTarget;

/** Builds the replica section of the node's status. */
final class ReplicaStatuses {

  private static final String NO_STEWARD = "none";

  private ReplicaStatuses() {}

  static ImmutableList<NodeStatus.ReplicaStatus> inZone(
      Zone zone, FleetView view, ReplicaLoads loads) {
    ImmutableList.Builder<NodeStatus.ReplicaStatus> statuses = ImmutableList.builder();
    for (ReplicaTarget target : view.targetsByReplica().values()) {
      if (target.replica().zone().equals(zone)) {
        statuses.add(status(target, loads));
      }
    }
    return statuses.build();
  }

  private static NodeStatus.ReplicaStatus status(ReplicaTarget target, ReplicaLoads loads) {
    String steward =
        target.steward().map(member -> member.incarnation().daemon().name()).orElse(NO_STEWARD);
    return new NodeStatus.ReplicaStatus(
        target.replica().id(), steward, target.usable(), loads.of(target.replica().id()).load());
  }
}
