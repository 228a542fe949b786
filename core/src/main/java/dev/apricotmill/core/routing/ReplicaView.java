package dev.apricotmill.core.routing;

import dev.apricotmill.coordination.identity.DaemonId;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.core.steward.ReplicaLoad;

/**
 * What an entry daemon knows of a replica.
 *
 * @param replica the replica
 * @param zone its availability zone
 * @param owner the daemon that owns it
 * @param load its load when last heard of
 * @param loadAtNanos when that was, on the entry daemon's monotonic clock
 * @param usable whether it may get new work: not leaving, stopped or ejected
 */
public record ReplicaView(
    ReplicaId replica,
    Zone zone,
    DaemonId owner,
    ReplicaLoad load,
    long loadAtNanos,
    boolean usable) {}
