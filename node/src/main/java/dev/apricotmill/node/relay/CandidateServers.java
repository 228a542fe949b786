package dev.apricotmill.node.relay;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import dev.apricotmill.core.relay.BackendServer;
import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.core.request.ServiceName;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/** The servers to which one request may go: not those that failed or refused it or are paused. */
final class CandidateServers {

  private final RelayNode node;
  private final ServiceName service;
  private final Set<ReplicaId> failed = new HashSet<>();

  CandidateServers(RelayNode node, ServiceName service) {
    this.node = node;
    this.service = service;
  }

  /** Returns the servers to which the request must not go now. */
  ImmutableSet<ReplicaId> excluded() {
    if (node.pauses().isEmpty()) {
      return ImmutableSet.copyOf(failed);
    }
    return ImmutableSet.<ReplicaId>builder()
        .addAll(failed)
        .addAll(node.pauses().notAccepting(ready()))
        .build();
  }

  /** Chooses a server of a service without engines. */
  Optional<BackendServer> choose() {
    return node.balancer().choose(ready(), excluded(), node.timing().nanoTime());
  }

  /** Returns the servers to which a request must not go that may go to one with a limit only. */
  ImmutableSet<ReplicaId> excludedForLimit() {
    return ImmutableSet.<ReplicaId>builder()
        .addAll(excluded())
        .addAll(
            ready().stream()
                .filter(server -> !node.backendLimits().isLimited(server))
                .map(BackendServer::id)
                .iterator())
        .build();
  }

  /** Excludes the servers with limits, which allow no request now. */
  void excludeLimited() {
    failed.addAll(node.backendLimits().limited(ready()));
  }

  /** Returns the shortest pause if all servers are paused. */
  Optional<Duration> shortestPause() {
    return node.pauses().isEmpty() ? Optional.empty() : node.pauses().timeUntilAnyAccepts(ready());
  }

  private ImmutableList<BackendServer> ready() {
    return node.view().readyServers(service);
  }

  /** Excludes a server without a report of its failure. */
  void exclude(ReplicaId server) {
    failed.add(server);
  }

  /** Excludes the helper that a refusal names as its cause, or else the refusing server. */
  void onRefusal(BackendServer refusing, Optional<String> faultyServer) {
    ReplicaId faulty =
        faultyServer
            .filter(name -> !refusing.isNamed(name))
            .flatMap(name -> node.view().findServer(service, name))
            .orElse(refusing.id());
    failed.add(faulty);
    node.placer().failed(service, faulty, !faulty.equals(refusing.id()));
  }

  /** Excludes a server that failed an attempt; other requests avoid it for a while. */
  void onFailure(ReplicaId server, boolean unreachable) {
    failed.add(server);
    node.placer().failed(service, server, unreachable);
    node.balancer().requestFailed(server, node.timing().nanoTime());
  }
}
