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
  private static final Duration FAILURE_COOL_DOWN = Duration.ofSeconds(3);

  private final Map<ReplicaId, EngineState> engines = new LinkedHashMap<>();

  /** Servers of one zone that are lost within this time may have been lost together. */
  private static final Duration ZONE_FAILURE_WINDOW = Duration.ofMillis(1500);

  private static final int UNREACHABLE_SERVERS_FOR_ZONE_COOL_DOWN = 3;

  /** A zone that was believed lost is tried again after this time. */
  private static final Duration ZONE_COOL_DOWN = Duration.ofSeconds(2);

  private final Map<Zone, Map<ReplicaId, Double>> unreachableAtMillis = new HashMap<>();
  private final Map<RequestId, PlacedRequest> placements = new HashMap<>();
  private EngineCostModel costModel;

  /** Creates a ledger of an empty pool. */
  public PoolScheduler(EngineCostModel costModel) {
    this.costModel = costModel;
  }

  /**
   * Where a request was placed.
   *
   * @param granted the placement
   * @param expiresMillis when the request must have ended
   */
  private record PlacedRequest(Placement.Granted granted, double expiresMillis) {}

  /** Takes over the servers of the pool; work on those that are gone is forgotten. */
  public void updateServers(Collection<BackendServer> servers, EngineCostModel newCostModel) {
    costModel = newCostModel;
    Map<ReplicaId, EngineState> previous = new HashMap<>(engines);
    engines.clear();
    servers.stream()
        .sorted((first, second) -> first.id().compareTo(second.id()))
        .forEach(server -> engines.put(server.id(), carryOver(previous.get(server.id()), server)));
  }

  private EngineState carryOver(
      @org.jspecify.annotations.Nullable EngineState previous, BackendServer server) {
    if (previous == null || previous.server().startedMillis() != server.startedMillis()) {
      return new EngineState(server, costModel);
    }
    previous.update(server);
    return previous;
  }

  /** Chooses engines for a request and notes the work on them. */
  public Placement place(PlacementRequest request, long nowNanos) {
    double nowMillis = millis(nowNanos);
    expire(nowMillis);
    ImmutableList<EngineState> usable =
        engines.values().stream()
            .filter(engine -> engine.server().ready())
            .filter(engine -> !request.excludedServers().contains(engine.server().id()))
            .collect(ImmutableList.toImmutableList());
    Placement placement = new PlacementPlanner(costModel, usable, request, nowMillis).choose();
    if (placement instanceof Placement.Granted granted) {
      recordPlacement(request, granted, nowNanos);
    }
    return placement;
  }

  /** Notes work that another dispatcher placed. */
  public void recordPlacement(PlacementRequest request, Placement.Granted granted, long nowNanos) {
    double nowMillis = millis(nowNanos);
    onEnd(request.request(), nowNanos);
    double partMillis =
        costModel.prefillMillis(request.size().promptTokens()) / (1 + granted.helpers().size());
    EngineState generatingEngine = engines.get(granted.server());
    if (generatingEngine != null) {
      long tokens =
          request.size().promptTokens()
              + request.size().maximumOutputTokens()
              - granted.reservedTokens() * granted.helpers().size();
      generatingEngine.add(
          request.request(), true, partMillis, tokens, request.eventGapTarget(), nowMillis);
    }
    for (ReplicaId helper : granted.helpers()) {
      EngineState helperEngine = engines.get(helper);
      if (helperEngine != null) {
        helperEngine.add(
            request.request(),
            false,
            partMillis,
            granted.reservedTokens(),
            request.eventGapTarget(),
            nowMillis);
      }
    }
    placements.put(
        request.request(),
        new PlacedRequest(granted, nowMillis + request.remainingTime().toMillis()));
  }

  /** Notes that the first event of a request's answer has come. */
  public void onFirstEvent(RequestId request, long nowNanos) {
    forEachEngine(request, engine -> engine.endPrefill(request, millis(nowNanos)));
  }

  /** Notes that a request uses its engines no more. */
  public void onEnd(RequestId request, long nowNanos) {
    forEachEngine(request, engine -> engine.remove(request, millis(nowNanos)));
    placements.remove(request);
  }

  /**
   * Notes that a server failed a request, so that it gets no new work for some time. Servers of a
   * zone that cannot be reached one after the other stand for their whole zone.
   */
  public void onServerFailure(ReplicaId server, boolean unreachable, long nowNanos) {
    EngineState engine = engines.get(server);
    if (engine == null) {
      return;
    }
    double nowMillis = millis(nowNanos);
    engine.startCoolDown(nowMillis + FAILURE_COOL_DOWN.toMillis());
    if (!unreachable) {
      return;
    }
    Zone zone = engine.server().zone();
    Map<ReplicaId, Double> recentlyUnreachable =
        unreachableAtMillis.computeIfAbsent(zone, z -> new HashMap<>());
    recentlyUnreachable
        .values()
        .removeIf(atMillis -> nowMillis - atMillis > ZONE_FAILURE_WINDOW.toMillis());
    recentlyUnreachable.put(server, nowMillis);
    if (recentlyUnreachable.size() >= UNREACHABLE_SERVERS_FOR_ZONE_COOL_DOWN) {
      engines.values().stream()
          .filter(other -> other.server().zone().equals(zone))
          .forEach(other -> other.startCoolDown(nowMillis + ZONE_COOL_DOWN.toMillis()));
    }
  }

  /** Returns how many requests are placed. */
  public int placedCount() {
    return placements.size();
  }

  private void forEachEngine(RequestId request, java.util.function.Consumer<EngineState> action) {
    PlacedRequest placement = placements.get(request);
    if (placement == null) {
      return;
    }
    ImmutableList.<ReplicaId>builder()
        .add(placement.granted().server())
        .addAll(placement.granted().helpers())
        .build()
        .stream()
        .map(engines::get)
        .filter(java.util.Objects::nonNull)
        .forEach(action);
  }

  /** Forgets requests whose time has run out: the node that asked for them may be gone. */
  private void expire(double nowMillis) {
    ImmutableList<RequestId> expired =
        placements.entrySet().stream()
            .filter(entry -> entry.getValue().expiresMillis() < nowMillis)
            .map(Map.Entry::getKey)
            .collect(ImmutableList.toImmutableList());
    long nowNanos = (long) (nowMillis * TimeUnit.MILLISECONDS.toNanos(1));
    expired.forEach(request -> onEnd(request, nowNanos));
  }

  private static double millis(long nanos) {
    return nanos / (double) TimeUnit.MILLISECONDS.toNanos(1);
  }
}
