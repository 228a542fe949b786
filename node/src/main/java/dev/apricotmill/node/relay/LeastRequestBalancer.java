package dev.apricotmill.node.relay;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import dev.apricotmill.core.relay.BackendServer;
import dev.apricotmill.core.request.ReplicaId;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Chooses servers of plain services: the one with the fewest open requests of this node.
 *
 * <p>Answers the load pattern of short calls that fill a few slots at a time, while some servers
 * fail. Not safe for use by several threads.
 */
final class LeastRequestBalancer {

  private static final Duration FAILURE_PENALTY = Duration.ofSeconds(2);

  private final Map<ReplicaId, Integer> openRequests = new HashMap<>();
  private final Map<ReplicaId, Long> penalizedUntilNanos = new HashMap<>();
  private long turn;

  Optional<BackendServer> choose(
      ImmutableList<BackendServer> ready, ImmutableSet<ReplicaId> excluded, long nowNanos) {
    turn++;
    return ready.stream()
        .filter(server -> !excluded.contains(server.id()))
        .min(
            Comparator.comparing((BackendServer server) -> isPenalized(server.id(), nowNanos))
                .thenComparingInt(server -> openRequests.getOrDefault(server.id(), 0))
                .thenComparingLong(server -> (server.id().hashCode() * 31L + turn) % ready.size()));
  }

  void requestStarted(ReplicaId server) {
    openRequests.merge(server, 1, Integer::sum);
  }

  void requestEnded(ReplicaId server) {
    openRequests.computeIfPresent(server, (id, count) -> count == 1 ? null : count - 1);
  }

  void requestFailed(ReplicaId server, long nowNanos) {
    penalizedUntilNanos.values().removeIf(until -> until - nowNanos < 0);
    penalizedUntilNanos.put(server, nowNanos + FAILURE_PENALTY.toNanos());
  }

  private boolean isPenalized(ReplicaId server, long nowNanos) {
    Long until = penalizedUntilNanos.get(server);
    return until != null && until - nowNanos > 0;
  }
}
