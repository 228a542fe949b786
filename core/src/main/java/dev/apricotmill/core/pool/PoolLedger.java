package dev.apricotmill.core.pool;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.core.relay.BackendServer;
import dev.apricotmill.core.relay.EngineFigures;
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
public final class PoolLedger {

  /** A server that failed gets no new work for this long; entries lapse after a few heartbeats. */
  private static final Duration DISTRUST = Duration.ofSeconds(3);

  private final Map<ReplicaId, PoolMember> members = new LinkedHashMap<>();

  /** Servers of one zone that are lost within this time may have been lost together. */
  private static final Duration ZONE_WINDOW = Duration.ofMillis(1500);

  private static final int SERVERS_THAT_STAND_FOR_A_ZONE = 3;

  /** A zone that was believed lost is tried again after this time. */
  private static final Duration ZONE_DISTRUST = Duration.ofSeconds(2);

  private final Map<Zone, Map<ReplicaId, Double>> unreachableMillis = new HashMap<>();
  private final Map<RequestId, Placed> placed = new HashMap<>();
  private EngineFigures figures;

  /** Creates a ledger of an empty pool. */
  public PoolLedger(EngineFigures figures) {
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
  public void updateServers(Collection<BackendServer> servers, EngineFigures newFigures) {
    figures = newFigures;
    Map<ReplicaId, PoolMember> before = new HashMap<>(members);
    members.clear();
    servers.stream()
        .sorted((first, second) -> first.id().compareTo(second.id()))
        .forEach(server -> members.put(server.id(), carryOver(before.get(server.id()), server)));
  }

  private PoolMember carryOver(
      @org.jspecify.annotations.Nullable PoolMember before, BackendServer server) {
    if (before == null || before.server().startedMillis() != server.startedMillis()) {
      return new PoolMember(server, figures);
    }
    before.update(server);
    return before;
  }

  /** Chooses engines for a request and notes the work on them. */
  public Placement place(PlacementAsk ask, long nowNanos) {
    double nowMillis = millis(nowNanos);
    expire(nowMillis);
    ImmutableList<PoolMember> usable =
        members.values().stream()
            .filter(member -> member.server().ready())
            .filter(member -> !ask.avoid().contains(member.server().id()))
            .collect(ImmutableList.toImmutableList());
    Placement placement = new PlacementChoice(figures, usable, ask, nowMillis).choose();
    if (placement instanceof Placement.Granted granted) {
      note(ask, granted, nowNanos);
    }
    return placement;
  }

  /** Notes work that another dispatcher placed. */
  public void note(PlacementAsk ask, Placement.Granted granted, long nowNanos) {
    double nowMillis = millis(nowNanos);
    ended(ask.request(), nowNanos);
    double partMillis =
        figures.readMillis(ask.size().promptTokens()) / (1 + granted.helpers().size());
    PoolMember first = members.get(granted.server());
    if (first != null) {
      long tokens =
          ask.size().promptTokens()
              + ask.size().maximumOutputTokens()
              - granted.reservedTokens() * granted.helpers().size();
      first.add(ask.request(), true, partMillis, tokens, ask.pauseGoal(), nowMillis);
    }
    for (ReplicaId helper : granted.helpers()) {
      PoolMember member = members.get(helper);
      if (member != null) {
        member.add(
            ask.request(), false, partMillis, granted.reservedTokens(), ask.pauseGoal(), nowMillis);
      }
    }
    placed.put(ask.request(), new Placed(granted, nowMillis + ask.remaining().toMillis()));
  }

  /** Notes that the first event of a request's answer has come. */
  public void firstEvent(RequestId request, long nowNanos) {
    forEachMember(request, member -> member.endReading(request, millis(nowNanos)));
  }

  /** Notes that a request uses its engines no more. */
  public void ended(RequestId request, long nowNanos) {
    forEachMember(request, member -> member.remove(request, millis(nowNanos)));
    placed.remove(request);
  }

  /**
   * Notes that a server failed a request, so that it gets no new work for some time. Servers of a
   * zone that cannot be reached one after the other stand for their whole zone.
   */
  public void failed(ReplicaId server, boolean unreachable, long nowNanos) {
    PoolMember member = members.get(server);
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

  private void forEachMember(RequestId request, java.util.function.Consumer<PoolMember> action) {
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
    over.forEach(request -> ended(request, nowNanos));
  }

  private static double millis(long nanos) {
    return nanos / (double) TimeUnit.MILLISECONDS.toNanos(1);
  }
}
