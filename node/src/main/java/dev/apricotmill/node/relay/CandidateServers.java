package dev.apricotmill.node.relay;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import dev.apricotmill.core.pool.PlacementRequest;
import dev.apricotmill.core.relay.BackendServer;
import dev.apricotmill.core.relay.RelayRefusal;
import dev.apricotmill.core.relay.Route;
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
  private Optional<Duration> limitWait = Optional.empty();

  CandidateServers(RelayNode node, ServiceName service) {
    this.node = node;
    this.service = service;
  }

  /** Returns the servers to which the request must not go now. */
  ImmutableSet<ReplicaId> excluded() {
    ImmutableSet<ReplicaId> cold = node.backendLimits().ramps().notAcceptingSend(ready());
    if (node.pauses().isEmpty()) {
      return ImmutableSet.<ReplicaId>builder().addAll(failed).addAll(cold).build();
    }
    return ImmutableSet.<ReplicaId>builder()
        .addAll(failed)
        .addAll(cold)
        .addAll(node.pauses().notAccepting(ready()))
        .build();
  }

  /** Chooses a server of a service without engines. */
  Optional<BackendServer> choose() {
    return node.balancer().choose(ready(), excluded(), node.timing().nanoTime());
  }

  /** Returns the request for the engines of a pool. */
  PlacementRequest toPlacementRequest(
      RelayRequest request, Route route, Duration waited, Duration remaining) {
    return request.toPlacementRequest(route, service, waited, remaining, excluded());
  }

  /** Returns the request for one of the servers that have limits; others are excluded. */
  PlacementRequest toLimitRequest(RelayRequest request, Route route, Duration remaining) {
    ImmutableSet<ReplicaId> limited = node.backendLimits().limited(ready());
    return request.toLimitRequest(
        route,
        service,
        remaining,
        ImmutableSet.<ReplicaId>builder()
            .addAll(excluded())
            .addAll(
                ready().stream()
                    .map(BackendServer::id)
                    .filter(server -> !limited.contains(server))
                    .iterator())
            .build());
  }

  /** Excludes the servers with limits, of which the first allows a request after {@code wait}. */
  void excludeLimited(Duration wait) {
    failed.addAll(node.backendLimits().limited(ready()));
    limitWait = Optional.of(wait);
  }

  /** Returns why there is no server to choose. */
  RelayRefusal absenceReason() {
    return limitWait.isPresent() ? RelayRefusal.OVERLOADED : RelayRefusal.NO_SERVER;
  }

  /** Returns when a caller may come back for whom there is no server. */
  Duration retryAfter() {
    return limitWait.orElse(RelayNode.RETRY_AFTER);
  }

  /** Returns the shortest pause if all servers are paused. */
  Optional<Duration> shortestPause() {
    return node.pauses().isEmpty() ? Optional.empty() : node.pauses().timeUntilAnyAccepts(ready());
  }

  /** Returns when one of the servers may get a request of this node, if all are cold. */
  Optional<Duration> timeUntilColdServerIsFree() {
    return node.backendLimits().ramps().timeUntilAnyAcceptsSend(ready());
  }

  private ImmutableList<BackendServer> ready() {
    return node.view().readyServers(service);
  }

  /** Excludes a server without a report of its failure. */
  void exclude(ReplicaId server) {
    failed.add(server);
  }

  /**
   * Excludes a server that was granted and accepts no requests. If its zone is evacuated, the
   * dispatcher does not know yet, so all servers of such zones are excluded: one by one, the
   * request would run out of attempts.
   */
  void excludeUnusable(ReplicaId server) {
    failed.add(server);
    ImmutableSet<ReplicaId> evacuated = node.view().evacuatedServers(service);
    if (evacuated.contains(server)) {
      failed.addAll(evacuated);
    }
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
