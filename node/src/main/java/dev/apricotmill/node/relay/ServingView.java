package dev.apricotmill.node.relay;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import dev.apricotmill.coordination.follow.ReadTimestamp;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.core.relay.BackendServer;
import dev.apricotmill.core.relay.ServingConfiguration;
import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.core.request.ServiceName;
import java.util.Optional;

/**
 * An immutable snapshot of what a node knows.
 *
 * @param configuration the newest known configuration; empty until one is read
 * @param validatedAt when it was last known to be the newest one; empty if that is not known
 * @param servers the backend servers; empty until a list is read
 * @param nodeCount the number of serving nodes, including this one
 * @param evacuatedZones the zones whose servers get no new requests; the servers say so too
 */
public record ServingView(
    Optional<ServingConfiguration> configuration,
    Optional<ReadTimestamp> validatedAt,
    Optional<ServerTable> servers,
    int nodeCount,
    ImmutableSet<Zone> evacuatedZones) {

  /** A view without configuration and servers. */
  public static final ServingView EMPTY =
      new ServingView(Optional.empty(), Optional.empty(), Optional.empty(), 1, ImmutableSet.of());

  /** Returns the view with another configuration; callers check that it is newer. */
  public ServingView withConfiguration(
      ServingConfiguration newConfiguration, Optional<ReadTimestamp> newValidatedAt) {
    return new ServingView(
        Optional.of(newConfiguration), newValidatedAt, servers, nodeCount, evacuatedZones);
  }

  /** Returns the view with another validation time of the configuration. */
  public ServingView withValidation(Optional<ReadTimestamp> newValidatedAt) {
    return new ServingView(configuration, newValidatedAt, servers, nodeCount, evacuatedZones);
  }

  /** Returns the view with another list of servers. */
  public ServingView withServers(ImmutableMap<ReplicaId, BackendServer> newServers) {
    return new ServingView(
        configuration,
        validatedAt,
        Optional.of(ServerTable.of(newServers)),
        nodeCount,
        evacuatedZones);
  }

  /** Returns the view with another number of nodes. */
  public ServingView withNodeCount(int newNodeCount) {
    return new ServingView(configuration, validatedAt, servers, newNodeCount, evacuatedZones);
  }

  /** Returns the view with other evacuated zones. */
  ServingView withEvacuatedZones(ImmutableSet<Zone> newEvacuatedZones) {
    return new ServingView(configuration, validatedAt, servers, nodeCount, newEvacuatedZones);
  }

  /** Returns the servers of a service that are in evacuated zones. */
  ImmutableSet<ReplicaId> evacuatedServers(ServiceName service) {
    return serversOf(service).stream()
        .filter(server -> evacuatedZones.contains(server.zone()))
        .map(BackendServer::id)
        .collect(ImmutableSet.toImmutableSet());
  }

  /** Returns the servers of a service, including those that are leaving. */
  public ImmutableList<BackendServer> serversOf(ServiceName service) {
    return servers.map(table -> table.of(service)).orElse(ImmutableList.of());
  }

  /** Returns the server of a service that has this identifier or address. */
  public Optional<ReplicaId> findServer(ServiceName service, String idOrAddress) {
    return serversOf(service).stream()
        .filter(server -> server.isNamed(idOrAddress))
        .findFirst()
        .map(BackendServer::id);
  }

  /** Returns the servers of a service that accept new requests. */
  public ImmutableList<BackendServer> readyServers(ServiceName service) {
    return servers.map(table -> table.readyOf(service)).orElse(ImmutableList.of());
  }
}
