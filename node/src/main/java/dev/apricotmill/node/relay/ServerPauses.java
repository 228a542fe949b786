package dev.apricotmill.node.relay;

import com.google.common.collect.Comparators;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import dev.apricotmill.coordination.time.Timing;
import dev.apricotmill.core.relay.BackendServer;
import dev.apricotmill.core.request.ReplicaId;
import java.time.Duration;
import java.util.Optional;

/**
 * Keeps the pauses that servers ask this node for, and logs when they begin and end. Runs on the
 * relay's executor.
 *
 * <p>A pause concerns this node alone, so other nodes are not told of it.
 */
final class ServerPauses {

  private final Timing timing;
  private final EventLog log;
  private final RelayMetrics metrics;
  private final LeastRequestBalancer balancer;
  private final PausedServers pausedServers = new PausedServers();

  ServerPauses(Timing timing, EventLog log, RelayMetrics metrics, LeastRequestBalancer balancer) {
    this.timing = timing;
    this.log = log;
    this.metrics = metrics;
    this.balancer = balancer;
  }

  /** Sends a server no requests for {@code requested}, at most {@link PausedServers#MAX_PAUSE}. */
  void pause(BackendServer server, Duration requested) {
    Duration duration = Comparators.min(requested, PausedServers.MAX_PAUSE);
    if (!duration.equals(requested)) {
      metrics.recordCappedPause();
    }
    PausedServers.Change change = pausedServers.pause(server, requested, timing.nanoTime());
    if (change.firstCapped()) {
      write("server.pause_capped", server, "requested_ms", requested);
    }
    if (change.begins()) {
      metrics.recordPause();
      write("server.paused", server, "for_ms", duration);
      timing.schedule(duration, () -> end(server));
    }
  }

  private void write(String event, BackendServer server, String durationField, Duration duration) {
    log.write(
        event,
        ImmutableMap.of(
            "server",
            server.id().value(),
            "service",
            server.service().value(),
            durationField,
            duration.toMillis()));
  }

  private void end(BackendServer server) {
    long now = timing.nanoTime();
    Optional<Duration> lasted = pausedServers.end(server, balancer.openRequests(server.id()), now);
    if (lasted.isPresent()) {
      write("server.pause_ended", server, "lasted_ms", lasted.get());
      timing.schedule(
          PausedServers.RETURN_DURATION,
          () -> pausedServers.removeReturned(server, timing.nanoTime()));
    } else if (pausedServers.isPaused(server)) {
      timing.schedule(pausedServers.untilNextChange(server, now), () -> end(server));
    }
  }

  /** Returns whether every request may go to any server. */
  boolean isEmpty() {
    return pausedServers.isEmpty();
  }

  /** Returns whether a server wants no requests now. */
  boolean isPaused(BackendServer server) {
    return pausedServers.isPaused(server);
  }

  /** Returns whether a request may go to a server now. */
  boolean accepts(BackendServer server) {
    return pausedServers.isEmpty()
        || pausedServers.accepts(server, balancer.openRequests(server.id()), timing.nanoTime());
  }

  /** Returns those of {@code servers} to which no request may go now. */
  ImmutableSet<ReplicaId> notAccepting(ImmutableList<BackendServer> servers) {
    return servers.stream()
        .filter(server -> !accepts(server))
        .map(BackendServer::id)
        .collect(ImmutableSet.toImmutableSet());
  }

  /** Returns when the first of {@code servers} accepts requests; empty if one does now. */
  Optional<Duration> timeUntilAnyAccepts(ImmutableList<BackendServer> servers) {
    if (servers.stream().anyMatch(this::accepts)) {
      return Optional.empty();
    }
    long now = timing.nanoTime();
    return servers.stream()
        .map(server -> pausedServers.untilNextChange(server, now))
        .min(Duration::compareTo);
  }

  /** Records a response of a server that asked for no pause. */
  void onResponse(BackendServer server) {
    if (!pausedServers.isEmpty()) {
      pausedServers.onResponse(server);
    }
  }
}
