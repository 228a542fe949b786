package dev.apricotmill.core.routing;

import dev.apricotmill.coordination.identity.DaemonId;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.core.steward.ReplicaLoad;

/**
 * An entry daemon's view of a replica.
 *
 * @param replica the replica
 * @param zone its availability zone
 * @param steward the daemon that owns the replica and schedules its work
 * @param load its last reported load
 * @param loadAtNanos when the load was received, on the entry daemon's monotonic clock
 * @param usable whether it may get new work; false if it is leaving, stopped or ejected
 */
public record ReplicaView(
    ReplicaId replica,
    Zone zone,
    DaemonId steward,
    ReplicaLoad load,
    long loadAtNanos,
    boolean usable) {}
