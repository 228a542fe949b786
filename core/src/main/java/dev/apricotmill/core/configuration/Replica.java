package dev.apricotmill.core.configuration;

import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.core.request.ReplicaId;

/**
 * A replica of a service.
 *
 * @param id the identifier
 * @param zone its availability zone
 * @param address the address on which it listens
 * @param machine the name of its backend server in the platform's list
 */
public record Replica(ReplicaId id, Zone zone, PeerAddress address, String machine) {}
