package dev.apricotmill.core.pool;

import dev.apricotmill.core.relay.BackendServer;
import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.core.request.RequestId;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Places the requests of a service without engines by the open requests of each server and by how
 * it has answered.
 *
 * <p>Meant for 8 to 25 short calls a second to 3 to 5 servers of 6 slots and a short queue, of
 * which some fail a part of their calls, fail all of them, answer late, or fail in turns of a
 * second or two. A request goes to the server with the lowest load in relation to its weight
 * ({@link AnswerRecord}). The load counts recently sent requests as well as open ones, which
 * spreads requests in proportion to the weights instead of sending all to the best server. Requests
 * beyond the slots of a server raise its load further, so that servers in doubt take requests
 * before the queues of the others are full. Not thread-safe.
 */
public final class PlainServiceScheduler {

  /** Below this weight a server counts as failing. */
  private static final double FAILING_WEIGHT = 0.3;

  private final RandomGenerator random;
  private final Map<ReplicaId, AnswerRecord> records = new HashMap<>();
  private final Map<RequestId, OpenRequest> openRequests = new LinkedHashMap<>();
  private final Map<ReplicaId, Integer> openCounts = new HashMap<>();
  private final Set<ReplicaId> failing = new HashSet<>();

  /**
   * A report has changed how much a server gets.
   *
   * @param server the server
   * @param failing whether it gets few requests from now on; otherwise its full share again
   */
  public record WeightChange(ReplicaId server, boolean failing) {}

  private record OpenRequest(ReplicaId server, long lateFromNanos, long endsNanos) {}

  /**
   * Creates a scheduler that knows no servers.
   *
   * @param random chooses among equal servers
   */
  public PlainServiceScheduler(RandomGenerator random) {
    this.random = random;
  }

  /** Chooses the best of {@code candidates} for a request; empty if there is none. */
  public Optional<BackendServer> place(
      PlacementRequest request, Collection<BackendServer> candidates, long nowNanos) {
    removeExpired(nowNanos);
    BackendServer best = null;
    double bestCost = 0;
    int equalServers = 0;
    for (BackendServer server : candidates) {
      double cost = cost(server, nowNanos);
      if (best == null || cost < bestCost) {
        best = server;
        bestCost = cost;
        equalServers = 1;
      } else if (cost == bestCost && random.nextInt(++equalServers) == 0) {
        best = server;
      }
    }
    Optional<BackendServer> chosen = Optional.ofNullable(best);
    chosen.ifPresent(server -> recordPlacement(request, server.id(), nowNanos));
    return chosen;
  }

  private double cost(BackendServer server, long nowNanos) {
    int open = openCounts.getOrDefault(server.id(), 0);
    AnswerRecord record = record(server.id(), nowNanos);
    double load = 1 + open + record.recentlySent(nowNanos);
    int queued = Math.max(0, open + 1 - server.slots());
    return load * (1 + queued) / record.weight(nowNanos);
  }

  private AnswerRecord record(ReplicaId server, long nowNanos) {
    return records.computeIfAbsent(server, id -> new AnswerRecord(nowNanos));
  }

  private void recordPlacement(PlacementRequest request, ReplicaId server, long nowNanos) {
    removeOpen(request.requestId());
    openRequests.put(
        request.requestId(),
        new OpenRequest(
            server,
            nowNanos + request.firstEventTarget().toNanos(),
            nowNanos + request.remainingTime().toNanos()));
    openCounts.merge(server, 1, Integer::sum);
    record(server, nowNanos).onSent(nowNanos);
  }

  private Optional<OpenRequest> removeOpen(RequestId request) {
    Optional<OpenRequest> open = Optional.ofNullable(openRequests.remove(request));
    open.ifPresent(
        removed ->
            openCounts.computeIfPresent(
                removed.server(), (server, count) -> count == 1 ? null : count - 1));
    return open;
  }

  /** A node that has ended reports nothing more, so its requests end with their time. */
  private void removeExpired(long nowNanos) {
    List<RequestId> expired =
        openRequests.entrySet().stream()
            .filter(entry -> entry.getValue().endsNanos() - nowNanos < 0)
            .map(Map.Entry::getKey)
            .toList();
    expired.forEach(this::removeOpen);
  }

  /** Forgets the servers that are not listed any more. */
  public void retainServers(Collection<ReplicaId> listed) {
    records.keySet().retainAll(listed);
    failing.retainAll(listed);
  }

  /** Records a report of a node, and returns what it changes. */
  public Optional<WeightChange> record(WorkReport report, long nowNanos) {
    if (report instanceof WorkReport.Running running) {
      recordPlacement(running.request(), running.placement().server(), nowNanos);
    } else if (report instanceof WorkReport.Failed failed) {
      return recordAnswer(failed.server(), /* good= */ false, nowNanos);
    } else if (report instanceof WorkReport.Ended ended) {
      return removeOpen(ended.request())
          .flatMap(open -> recordEnd(open, ended.completed(), nowNanos));
    }
    return Optional.empty();
  }

  /** An end in time without a complete response tells nothing, since failures are reported. */
  private Optional<WeightChange> recordEnd(OpenRequest open, boolean completed, long nowNanos) {
    boolean late = nowNanos - open.lateFromNanos() > 0;
    return completed || late
        ? recordAnswer(open.server(), /* good= */ !late, nowNanos)
        : Optional.empty();
  }

  private Optional<WeightChange> recordAnswer(ReplicaId server, boolean good, long nowNanos) {
    AnswerRecord record = record(server, nowNanos);
    record.onAnswer(good, nowNanos);
    double weight = record.weight(nowNanos);
    if (weight < FAILING_WEIGHT && failing.add(server)) {
      return Optional.of(new WeightChange(server, /* failing= */ true));
    }
    return weight == 1 && failing.remove(server)
        ? Optional.of(new WeightChange(server, /* failing= */ false))
        : Optional.empty();
  }
}
