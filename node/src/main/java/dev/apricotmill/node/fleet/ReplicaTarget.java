package dev.apricotmill.node.fleet;

import dev.apricotmill.coordination.membership.Member;
import dev.apricotmill.core.configuration.Replica;
import dev.apricotmill.core.configuration.Service;
import java.util.Optional;

/**
 * A replica and the daemon that owns it.
 *
 * @param service the replica's service
 * @param replica the replica
 * @param steward the daemon that owns it; absent if no daemon of the replica's zone is known
 * @param usable whether the replica may receive new requests: its VM is not leaving or stopped
 */
public record ReplicaTarget(
    Service service, Replica replica, Optional<Member> steward, boolean usable) {}
