package dev.apricotmill.core.pool;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.core.relay.BackendServer;
import dev.apricotmill.core.relay.EngineCostModel;
import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.core.request.RequestId;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * The work that was placed on the engines of one pool, and the choice of engines for more of it.
 *
 * <p>Not safe for use by several threads.
 */
public final class PoolScheduler {

  /** A server that failed gets no new work for this long; entries lapse after a few heartbeats. */
  private static final Duration DISTRUST = Duration.ofSeconds(3);

  private final Map<ReplicaId, EngineState> members = new LinkedHashMap<>();

  /** Servers of one zone that are lost within this time may have been lost together. */
  private static final Duration ZONE_WINDOW = Duration.ofMillis(1500);

  private static final int SERVERS_THAT_STAND_FOR_A_ZONE = 3;

  /** A zone that was believed lost is tried again after this time. */
  private static final Duration ZONE_DISTRUST = Duration.ofSeconds(2);

  private final Map<Zone, Map<ReplicaId, Double>> unreachableMillis = new HashMap<>();
  private final Map<RequestId, Placed> placed = new HashMap<>();
  private EngineCostModel figures;

  /** Creates a ledger of an empty pool. */
  public PoolScheduler(EngineCostModel figures) {
    this.figures = figures;
  }

  /**
   * Where a request was placed.
   *
   * @param granted the placement
   * @param expiresMillis when the request must have ended
   */
  private record Placed(Placement.Granted granted, double expiresMillis) {}

  /** Takes over the servers of the pool; work on those that are gone is forgotten. */
  public void updateServers(Collection<BackendServer> servers, EngineCostModel newFigures) {
    figures = newFigures;
    Map<ReplicaId, EngineState> before = new HashMap<>(members);
    members.clear();
    servers.stream()
        .sorted((first, second) -> first.id().compareTo(second.id()))
        .forEach(server -> members.put(server.id(), carryOver(before.get(server.id()), server)));
  }

  private EngineState carryOver(
      @org.jspecify.annotations.Nullable EngineState before, BackendServer server) {
    if (before == null || before.server().startedMillis() != server.startedMillis()) {
      return new EngineState(server, figures);
    }
    before.update(server);
    return before;
  }

  /** Chooses engines for a request and notes the work on them. */
  public Placement place(PlacementRequest ask, long nowNanos) {
    double nowMillis = millis(nowNanos);
    expire(nowMillis);
    ImmutableList<EngineState> usable =
        members.values().stream()
            .filter(member -> member.server().ready())
            .filter(member -> !ask.excludedServers().contains(member.server().id()))
            .collect(ImmutableList.toImmutableList());
    Placement placement = new PlacementPlanner(figures, usable, ask, nowMillis).choose();
    if (placement instanceof Placement.Granted granted) {
      recordPlacement(ask, granted, nowNanos);
    }
    return placement;
  }

  /** Notes work that another dispatcher placed. */
  public void recordPlacement(PlacementRequest ask, Placement.Granted granted, long nowNanos) {
    double nowMillis = millis(nowNanos);
    onEnd(ask.request(), nowNanos);
    double partMillis =
        figures.prefillMillis(ask.size().promptTokens()) / (1 + granted.helpers().size());
    EngineState first = members.get(granted.server());
    if (first != null) {
      long tokens =
          ask.size().promptTokens()
              + ask.size().maximumOutputTokens()
              - granted.reservedTokens() * granted.helpers().size();
      first.add(ask.request(), true, partMillis, tokens, ask.eventGapTarget(), nowMillis);
    }
    for (ReplicaId helper : granted.helpers()) {
      EngineState member = members.get(helper);
      if (member != null) {
        member.add(
            ask.request(),
            false,
            partMillis,
            granted.reservedTokens(),
            ask.eventGapTarget(),
            nowMillis);
      }
    }
    placed.put(ask.request(), new Placed(granted, nowMillis + ask.remainingTime().toMillis()));
  }

  /** Notes that the first event of a request's answer has come. */
  public void onFirstEvent(RequestId request, long nowNanos) {
    forEachMember(request, member -> member.endReading(request, millis(nowNanos)));
  }

  /** Notes that a request uses its engines no more. */
  public void onEnd(RequestId request, long nowNanos) {
    forEachMember(request, member -> member.remove(request, millis(nowNanos)));
    placed.remove(request);
  }

  /**
   * Notes that a server failed a request, so that it gets no new work for some time. Servers of a
   * zone that cannot be reached one after the other stand for their whole zone.
   */
  public void onServerFailure(ReplicaId server, boolean unreachable, long nowNanos) {
    EngineState member = members.get(server);
    if (member == null) {
      return;
    }
    double nowMillis = millis(nowNanos);
    member.distrust(nowMillis + DISTRUST.toMillis());
    if (!unreachable) {
      return;
    }
    Zone zone = member.server().zone();
    Map<ReplicaId, Double> lost = unreachableMillis.computeIfAbsent(zone, z -> new HashMap<>());
    lost.values().removeIf(when -> nowMillis - when > ZONE_WINDOW.toMillis());
    lost.put(server, nowMillis);
    if (lost.size() >= SERVERS_THAT_STAND_FOR_A_ZONE) {
      members.values().stream()
          .filter(other -> other.server().zone().equals(zone))
          .forEach(other -> other.distrust(nowMillis + ZONE_DISTRUST.toMillis()));
    }
  }

  /** Returns how many requests are placed. */
  public int placedCount() {
    return placed.size();
  }

  private void forEachMember(RequestId request, java.util.function.Consumer<EngineState> action) {
    Placed where = placed.get(request);
    if (where == null) {
      return;
    }
    ImmutableList.<ReplicaId>builder()
        .add(where.granted().server())
        .addAll(where.granted().helpers())
        .build()
        .stream()
        .map(members::get)
        .filter(java.util.Objects::nonNull)
        .forEach(action);
  }

  /** Forgets requests whose time has run out: the node that asked for them may be gone. */
  private void expire(double nowMillis) {
    ImmutableList<RequestId> over =
        placed.entrySet().stream()
            .filter(entry -> entry.getValue().expiresMillis() < nowMillis)
            .map(Map.Entry::getKey)
            .collect(ImmutableList.toImmutableList());
    long nowNanos = (long) (nowMillis * TimeUnit.MILLISECONDS.toNanos(1));
    over.forEach(request -> onEnd(request, nowNanos));
  }

  private static double millis(long nanos) {
    return nanos / (double) TimeUnit.MILLISECONDS.toNanos(1);
  }
}
