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
final class PlainServers {

  private static final Duration DISTRUST = Duration.ofSeconds(2);

  private final Map<ReplicaId, Integer> open = new HashMap<>();
  private final Map<ReplicaId, Long> distrustedUntilNanos = new HashMap<>();
  private long turn;

  Optional<BackendServer> choose(
      ImmutableList<BackendServer> ready, ImmutableSet<ReplicaId> avoid, long nowNanos) {
    turn++;
    return ready.stream()
        .filter(server -> !avoid.contains(server.id()))
        .min(
            Comparator.comparing((BackendServer server) -> isDistrusted(server.id(), nowNanos))
                .thenComparingInt(server -> open.getOrDefault(server.id(), 0))
                .thenComparingLong(server -> (server.id().hashCode() * 31L + turn) % ready.size()));
  }

  void begun(ReplicaId server) {
    open.merge(server, 1, Integer::sum);
  }

  void ended(ReplicaId server) {
    open.computeIfPresent(server, (id, count) -> count == 1 ? null : count - 1);
  }

  void failed(ReplicaId server, long nowNanos) {
    distrustedUntilNanos.values().removeIf(until -> until - nowNanos < 0);
    distrustedUntilNanos.put(server, nowNanos + DISTRUST.toNanos());
  }

  private boolean isDistrusted(ReplicaId server, long nowNanos) {
    Long until = distrustedUntilNanos.get(server);
    return until != null && until - nowNanos > 0;
  }
}
