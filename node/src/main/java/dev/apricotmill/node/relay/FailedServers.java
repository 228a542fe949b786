package dev.apricotmill.node.relay;

import com.google.common.collect.ImmutableSet;
import dev.apricotmill.core.relay.BackendServer;
import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.core.request.ServiceName;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/** The servers that failed or refused one request; further attempts go to others. */
final class FailedServers {

  private final RelayNode node;
  private final ServiceName service;
  private final Set<ReplicaId> excluded = new HashSet<>();

  FailedServers(RelayNode node, ServiceName service) {
    this.node = node;
    this.service = service;
  }

  ImmutableSet<ReplicaId> excluded() {
    return ImmutableSet.copyOf(excluded);
  }

  /** Excludes a server without a report of its failure. */
  void exclude(ReplicaId server) {
    excluded.add(server);
  }

  /** Excludes the helper that a refusal names as its cause, or else the refusing server. */
  void onRefusal(BackendServer refusing, Optional<String> faultyServer) {
    ReplicaId faulty =
        faultyServer
            .filter(name -> !refusing.isNamed(name))
            .flatMap(name -> node.view().findServer(service, name))
            .orElse(refusing.id());
    excluded.add(faulty);
    node.placer().failed(service, faulty, !faulty.equals(refusing.id()));
  }

  /** Excludes a server that failed an attempt; other requests avoid it for a while. */
  void onFailure(ReplicaId server, boolean unreachable) {
    excluded.add(server);
    node.placer().failed(service, server, unreachable);
    node.balancer().requestFailed(server, node.timing().nanoTime());
  }
}
