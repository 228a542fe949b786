package dev.apricotmill.node.relay;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import dev.apricotmill.coordination.follow.ReadMoment;
import dev.apricotmill.core.relay.BackendServer;
import dev.apricotmill.core.relay.ServingConfiguration;
import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.core.request.ServiceName;
import java.util.Optional;

/**
 * What a node knows at one moment.
 *
 * @param configuration the newest configuration, empty before the first
 * @param confirmedAt when that was known to be the newest; empty if it is not known
 * @param servers the backend servers, empty before the first list
 * @param nodeCount how many nodes serve, itself included
 */
public record ServingView(
    Optional<ServingConfiguration> configuration,
    Optional<ReadMoment> confirmedAt,
    Optional<ServerTable> servers,
    int nodeCount) {

  /** A view that knows nothing. */
  public static final ServingView EMPTY =
      new ServingView(Optional.empty(), Optional.empty(), Optional.empty(), 1);

  /** Returns the view with a newer configuration and proof; an older version is not taken. */
  public ServingView withConfiguration(
      ServingConfiguration newer, Optional<ReadMoment> newerProof) {
    return new ServingView(Optional.of(newer), newerProof, servers, nodeCount);
  }

  /** Returns the view with another proof. */
  public ServingView withConfirmation(Optional<ReadMoment> newer) {
    return new ServingView(configuration, newer, servers, nodeCount);
  }

  /** Returns the view with another list of servers. */
  public ServingView withServers(ImmutableMap<ReplicaId, BackendServer> newer) {
    return new ServingView(
        configuration, confirmedAt, Optional.of(ServerTable.of(newer)), nodeCount);
  }

  /** Returns the view with another number of nodes. */
  public ServingView withNodeCount(int newer) {
    return new ServingView(configuration, confirmedAt, servers, newer);
  }

  /** Returns the servers of a service, those that are leaving included. */
  public ImmutableList<BackendServer> serversOf(ServiceName service) {
    return servers.map(table -> table.of(service)).orElse(ImmutableList.of());
  }

  /** Returns the server of a service that has this identifier or this address. */
  public Optional<ReplicaId> serverNamed(ServiceName service, String name) {
    return serversOf(service).stream()
        .filter(
            server -> server.id().value().equals(name) || server.address().toString().equals(name))
        .findFirst()
        .map(BackendServer::id);
  }

  /** Returns the servers of a service that take new requests. */
  public ImmutableList<BackendServer> readyServers(ServiceName service) {
    return servers.map(table -> table.readyOf(service)).orElse(ImmutableList.of());
  }
}
