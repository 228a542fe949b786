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
 * Chooses servers of services without engines: the one with the fewest open requests of this node.
 *
 * <p>Meant for short requests that occupy a few slots at a time while some servers fail: a server
 * that failed is chosen last during its cool-down. Not thread-safe.
 */
final class LeastRequestBalancer {

  private static final Duration COOL_DOWN = Duration.ofSeconds(2);

  private final Map<ReplicaId, Integer> openRequests = new HashMap<>();
  private final Map<ReplicaId, Long> coolDownUntilNanos = new HashMap<>();
  private long rotation;

  Optional<BackendServer> choose(
      ImmutableList<BackendServer> ready, ImmutableSet<ReplicaId> excluded, long nowNanos) {
    rotation++;
    return ready.stream()
        .filter(server -> !excluded.contains(server.id()))
        .min(
            Comparator.comparing((BackendServer server) -> isCoolingDown(server.id(), nowNanos))
                .thenComparingInt(server -> openRequests(server.id()))
                .thenComparingLong(
                    server -> (server.id().hashCode() * 31L + rotation) % ready.size()));
  }

  void requestStarted(ReplicaId server) {
    openRequests.merge(server, 1, Integer::sum);
  }

  void requestEnded(ReplicaId server) {
    openRequests.computeIfPresent(server, (id, count) -> count == 1 ? null : count - 1);
  }

  /** Returns the requests of this node that a server has not completed. */
  int openRequests(ReplicaId server) {
    return openRequests.getOrDefault(server, 0);
  }

  void requestFailed(ReplicaId server, long nowNanos) {
    coolDownUntilNanos.values().removeIf(until -> until - nowNanos < 0);
    coolDownUntilNanos.put(server, nowNanos + COOL_DOWN.toNanos());
  }

  private boolean isCoolingDown(ReplicaId server, long nowNanos) {
    Long until = coolDownUntilNanos.get(server);
    return until != null && until - nowNanos > 0;
  }
}
