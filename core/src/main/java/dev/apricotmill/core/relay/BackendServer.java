package dev.apricotmill.core.relay;

import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.core.request.ServiceName;

/**
 * One incarnation of a backend server, as registered by the server itself.
 *
 * @param id the server's identifier; usually a new one after each restart
 * @param service the service that it provides
 * @param address the address on which it listens
 * @param zone its availability zone
 * @param slots the number of requests that it runs concurrently
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
    long startedMillis) {

  /** Returns the server as one that takes no new requests. */
  public BackendServer asLeaving() {
    return new BackendServer(id, service, address, zone, slots, false, startedMillis);
  }
}
