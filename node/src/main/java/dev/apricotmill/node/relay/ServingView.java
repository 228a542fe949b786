package dev.apricotmill.node.relay;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import dev.apricotmill.coordination.follow.ReadTimestamp;
import dev.apricotmill.core.relay.BackendServer;
import dev.apricotmill.core.relay.ServingConfiguration;
import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.core.request.ServiceName;
import java.util.Optional;

/**
 * What a node knows at one moment.
 *
 * @param configuration the newest configuration, empty before the first
 * @param proof when that was known to be the newest; empty if it is not known
 * @param servers the backend servers, empty before the first list
 * @param nodes how many nodes serve, itself included
 */
public record ServingView(
    Optional<ServingConfiguration> configuration,
    Optional<ReadTimestamp> proof,
    Optional<ServerTable> servers,
    int nodes) {

  /** A view that knows nothing. */
  public static final ServingView NOTHING =
      new ServingView(Optional.empty(), Optional.empty(), Optional.empty(), 1);

  /** Returns the view with a newer configuration and proof; an older version is not taken. */
  public ServingView withConfiguration(
      ServingConfiguration newer, Optional<ReadTimestamp> newerProof) {
    return new ServingView(Optional.of(newer), newerProof, servers, nodes);
  }

  /** Returns the view with another proof. */
  public ServingView withProof(Optional<ReadTimestamp> newer) {
    return new ServingView(configuration, newer, servers, nodes);
  }

  /** Returns the view with another list of servers. */
  public ServingView withServers(ImmutableMap<ReplicaId, BackendServer> newer) {
    return new ServingView(configuration, proof, Optional.of(ServerTable.of(newer)), nodes);
  }

  /** Returns the view with another number of nodes. */
  public ServingView withNodes(int newer) {
    return new ServingView(configuration, proof, servers, newer);
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
