package dev.apricotmill.node.relay;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Multimaps;
import dev.apricotmill.core.relay.BackendServer;
import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.core.request.ServiceName;

/**
 * The backend servers, indexed by service once per change, so that a request looks only at the
 * servers of its service.
 *
 * @param serversById all servers by identifier
 * @param byService the servers of each service, including those that are leaving
 * @param readyByService the servers of each service that accept new requests
 */
public record ServerTable(
    ImmutableMap<ReplicaId, BackendServer> serversById,
    ImmutableListMultimap<ServiceName, BackendServer> byService,
    ImmutableListMultimap<ServiceName, BackendServer> readyByService) {

  /** Indexes servers. */
  public static ServerTable of(ImmutableMap<ReplicaId, BackendServer> servers) {
    ImmutableListMultimap<ServiceName, BackendServer> byService =
        Multimaps.index(servers.values(), BackendServer::service);
    return new ServerTable(
        servers,
        byService,
        ImmutableListMultimap.copyOf(Multimaps.filterValues(byService, BackendServer::ready)));
  }

  ImmutableList<BackendServer> of(ServiceName service) {
    return byService.get(service);
  }

  ImmutableList<BackendServer> readyOf(ServiceName service) {
    return readyByService.get(service);
  }
}
