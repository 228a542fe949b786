package dev.apricotmill.core.relay;

import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.core.request.ServiceName;

/**
 * One life of a backend server, as it announced itself.
 *
 * @param id the server's identifier; a restart mostly brings a new one
 * @param service the service that it runs
 * @param address where it listens
 * @param zone its availability zone
 * @param slots requests that it runs at once
 * @param ready whether it takes new requests; a server that is leaving does not
 * @param startedMillis when it started, in milliseconds of Unix time
 */
public record BackendServer(
    ReplicaId id,
    ServiceName service,
    PeerAddress address,
    Zone zone,
    int slots,
    boolean ready,
    long startedMillis) {}
