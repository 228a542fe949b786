package dev.apricotmill.core.pool;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.core.prompt.CrashAttribution;
import dev.apricotmill.core.prompt.PromptParts;
import dev.apricotmill.core.relay.BackendServer;
import dev.apricotmill.core.relay.EngineCostModel;
import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.core.request.RequestId;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * Tracks the requests placed on the engines of one pool and chooses engines for new ones.
 *
 * <p>Not thread-safe.
 */
public final class PoolScheduler {

  /**
   * A failed server gets no new work for this time; server entries expire after a few heartbeats.
   */
  private static final Duration FAILURE_COOL_DOWN = Duration.ofSeconds(3);

  /** An engine that has written a response for this long does not crash under its prompt. */
  public static final Duration WRITING_CLEARS_AFTER = Duration.ofSeconds(1);

  private final Map<ReplicaId, EngineState> engines = new LinkedHashMap<>();
  private final CrashAttribution crashes = new CrashAttribution();

  /** Servers of a zone that become unreachable within this time count as one failure. */
  private static final Duration ZONE_FAILURE_WINDOW = Duration.ofMillis(1500);

  private static final int UNREACHABLE_SERVERS_FOR_ZONE_COOL_DOWN = 3;

  /** The servers of a zone that was presumed lost are used again after this time. */
  private static final Duration ZONE_COOL_DOWN = Duration.ofSeconds(2);

  private final Map<Zone, Map<ReplicaId, Double>> unreachableAtMillis = new HashMap<>();
  private final Map<RequestId, PlacedRequest> placements = new HashMap<>();
  private double earliestExpiryMillis = Double.POSITIVE_INFINITY;
  private final boolean considersArrivals;
  private EngineShare share = EngineShare.NONE;
  private final PrefillDemand longPrompts = new PrefillDemand();
  private final ShortPromptLoad shortPrompts = new ShortPromptLoad();
  private EngineCostModel costModel;
  private Duration failureCoolDown = FAILURE_COOL_DOWN;

  /** Creates a scheduler of an empty pool. */
  public PoolScheduler(EngineCostModel costModel) {
    this(costModel, true);
  }

  /**
   * Creates a scheduler of an empty pool.
   *
   * @param considersArrivals whether engines are kept free for short prompts where prompts compete
   *     for engines
   */
  PoolScheduler(EngineCostModel costModel, boolean considersArrivals) {
    this.costModel = costModel;
    this.considersArrivals = considersArrivals;
  }

  /**
   * Where a request was placed.
   *
   * @param granted the placement
   * @param shortSinceMillis when it was placed if its prompt is short, else infinite
   * @param expiresMillis the request's deadline, after which the placement is dropped
   * @param promptParts the parts of its prompt, until they are cleared
   * @param firstEventMillis when the response began; infinite if it has not
   */
  private record PlacedRequest(
      Placement.Granted granted,
      double shortSinceMillis,
      double expiresMillis,
      PromptParts promptParts,
      double firstEventMillis) {

    PlacedRequest withFirstEventAt(double atMillis) {
      return new PlacedRequest(
          granted,
          shortSinceMillis,
          expiresMillis,
          promptParts,
          Math.min(firstEventMillis, atMillis));
    }

    PlacedRequest withClearedParts() {
      return new PlacedRequest(
          granted, shortSinceMillis, expiresMillis, PromptParts.NONE, firstEventMillis);
    }

    boolean isShort() {
      return Double.isFinite(shortSinceMillis);
    }

    double clearedMillis() {
      return firstEventMillis + WRITING_CLEARS_AFTER.toMillis();
    }
  }

  /** Sets whether a failed server has a cool-down; it needs none where it has a ramp. */
  public void setFailureCoolDown(boolean enabled) {
    failureCoolDown = enabled ? FAILURE_COOL_DOWN : Duration.ZERO;
  }

  /** Replaces the servers of the pool; work on removed servers is dropped. */
  public void updateServers(Collection<BackendServer> servers, EngineCostModel newCostModel) {
    costModel = newCostModel;
    Map<ReplicaId, EngineState> previous = new HashMap<>(engines);
    engines.clear();
    servers.stream()
        .sorted((first, second) -> first.id().compareTo(second.id()))
        .forEach(server -> engines.put(server.id(), carryOver(previous.get(server.id()), server)));
    int position = 0;
    for (EngineState engine : engines.values()) {
      engine.moveTo(position++);
    }
  }

  private EngineState carryOver(
      @org.jspecify.annotations.Nullable EngineState previous, BackendServer server) {
    if (previous == null || previous.server().startedMillis() != server.startedMillis()) {
      return new EngineState(server, costModel, promptsCompete());
    }
    previous.update(server);
    return previous;
  }

  /** Chooses engines for a request, of which all may help, and records the placement. */
  public Placement place(PlacementRequest request, long nowNanos) {
    return place(request, ExcludedHelpers.NONE, nowNanos);
  }

  /** Chooses engines for a request and records the placement. */
  public Placement place(PlacementRequest request, ExcludedHelpers excludedHelpers, long nowNanos) {
    double nowMillis = millis(nowNanos);
    expire(nowMillis);
    ImmutableList<EngineState> usable =
        engines.values().stream()
            .filter(engine -> engine.server().ready())
            .filter(engine -> !request.excludedServers().contains(engine.server().id()))
            .collect(ImmutableList.toImmutableList());
    share = share(request, usable.size(), nowMillis);
    Placement placement =
        new PlacementPlanner(costModel, usable, request, excludedHelpers, share, nowMillis)
            .choose();
    if (placement instanceof Placement.Granted granted) {
      recordPlacement(request, granted, nowNanos);
    }
    return placement;
  }

  /** Returns the engines that are kept free of long parts, with the request counted. */
  private EngineShare share(PlacementRequest request, int usableCount, double nowMillis) {
    if (!promptsCompete()) {
      return EngineShare.NONE;
    }
    double prefillMillis = costModel.prefillMillis(request.size().promptTokens());
    if (isShort(request)) {
      shortPrompts.recordArrival(request, prefillMillis, nowMillis);
    } else {
      long tokens = Math.min(request.size().promptTokens(), costModel.memoryTokens());
      longPrompts.record(prefillMillis, costModel.relativeValue(tokens), nowMillis);
    }
    EngineShare kept = shortPrompts.share(costModel, usableCount, nowMillis);
    int left = usableCount - kept.engineCount();
    return kept.withPricePerMilli(longPrompts.pricePerMilli(left, nowMillis));
  }

  /**
   * Returns the engines that were kept free of long parts in the last placement; 0 where prompts do
   * not compete for engines.
   */
  public int enginesKeptFree() {
    return share.engineCount();
  }

  private boolean promptsCompete() {
    return considersArrivals && costModel.promptsCompete();
  }

  private boolean isShort(PlacementRequest request) {
    return PlacementPlanner.isShort(costModel.prefillMillis(request.size().promptTokens()));
  }

  /** Records a placement, also one that another dispatcher made. */
  public void recordPlacement(PlacementRequest request, Placement.Granted granted, long nowNanos) {
    double nowMillis = millis(nowNanos);
    onEnd(request.requestId(), nowNanos);
    double partMillis =
        costModel.prefillMillis(request.size().promptTokens()) / (1 + granted.helpers().size());
    EngineState generatingEngine = engines.get(granted.server());
    if (generatingEngine != null) {
      long tokens =
          request.size().promptTokens()
              + request.size().maximumOutputTokens()
              - granted.reservedTokens() * granted.helpers().size();
      generatingEngine.add(
          request.requestId(),
          true,
          partMillis,
          tokens,
          request.eventGapTarget(),
          nowMillis + request.firstEventTarget().toMillis(),
          nowMillis);
    }
    for (ReplicaId helper : granted.helpers()) {
      EngineState helperEngine = engines.get(helper);
      if (helperEngine != null) {
        helperEngine.add(
            request.requestId(),
            false,
            partMillis,
            granted.reservedTokens(),
            request.eventGapTarget(),
            nowMillis + request.firstEventTarget().toMillis(),
            nowMillis);
      }
    }
    double expiresMillis = nowMillis + request.remainingTime().toMillis();
    earliestExpiryMillis = Math.min(earliestExpiryMillis, expiresMillis);
    placements.put(
        request.requestId(),
        new PlacedRequest(
            granted,
            isShort(request) ? nowMillis : Double.POSITIVE_INFINITY,
            expiresMillis,
            request.promptParts(),
            Double.POSITIVE_INFINITY));
  }

  /** Records that the first event of a response has arrived, so that its prefill is complete. */
  public void onFirstEvent(RequestId request, long nowNanos) {
    forEachEngine(request, engine -> engine.endPrefill(request, millis(nowNanos)));
    placements.computeIfPresent(request, (id, placed) -> placed.withFirstEventAt(millis(nowNanos)));
  }

  /** Records that a request no longer uses its engines. */
  public void onEnd(RequestId request, long nowNanos) {
    PlacedRequest placed = placements.get(request);
    if (placed != null && placed.isShort() && placed.firstEventMillis() < millis(nowNanos)) {
      shortPrompts.recordEnd(millis(nowNanos) - placed.shortSinceMillis());
    }
    clearIfWriting(request, millis(nowNanos));
    remove(request, millis(nowNanos));
  }

  private void remove(RequestId request, double nowMillis) {
    forEachEngine(request, engine -> engine.remove(request, nowMillis));
    placements.remove(request);
  }

  /** Records that the response to a request was written to its end. */
  public void onCompleted(RequestId request, long nowNanos) {
    PlacedRequest placed = placements.get(request);
    if (placed != null) {
      crashes.onWritten(placed.promptParts(), millis(nowNanos));
      placements.put(request, placed.withClearedParts());
    }
  }

  /** Records that an engine broke off a response before or soon after it began to write it. */
  public void onBrokenOff(ReplicaId server, PromptParts promptParts, long atNanos) {
    crashes.onBrokenOff(server, promptParts, millis(atNanos));
  }

  /**
   * Records responses to prompts with a part that another node has seen.
   *
   * @param weight their number, in which earlier ones count less
   * @param lastNanos when the last of them was written
   */
  public void onWritten(String part, double weight, long lastNanos) {
    crashes.onWritten(part, weight, millis(lastNanos));
  }

  /** Returns the parts of prompts to which most responses were written. */
  public ImmutableList<CrashAttribution.WrittenPart> mostWritten(int limit, long nowNanos) {
    return crashes.mostWritten(limit, millis(nowNanos));
  }

  /**
   * Returns a part of prompts under which one engine after the other has ended.
   *
   * @param blocked the parts that are known to crash engines
   */
  public Optional<String> findCrashingPart(Predicate<String> blocked, long nowNanos) {
    double nowMillis = millis(nowNanos);
    ImmutableSet.copyOf(placements.keySet()).forEach(request -> clearIfWriting(request, nowMillis));
    return crashes.findCrashingPart(blocked, nowMillis);
  }

  private void clearIfWriting(RequestId request, double nowMillis) {
    PlacedRequest placed = placements.get(request);
    if (placed != null && placed.clearedMillis() <= nowMillis) {
      crashes.onWritten(placed.promptParts(), placed.clearedMillis());
      placements.put(request, placed.withClearedParts());
    }
  }

  /**
   * Records that a server failed a request, and starts its cool-down. If several servers of a zone
   * become unreachable within a short time, the cool-down covers the whole zone.
   */
  public void onServerFailure(ReplicaId server, boolean unreachable, long nowNanos) {
    EngineState engine = engines.get(server);
    if (engine == null) {
      return;
    }
    double nowMillis = millis(nowNanos);
    engine.startCoolDown(nowMillis + failureCoolDown.toMillis());
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

  /** Returns the number of placed requests that have not ended. */
  public int placedCount() {
    return placements.size();
  }

  private void forEachEngine(RequestId request, java.util.function.Consumer<EngineState> action) {
    PlacedRequest placed = placements.get(request);
    if (placed == null) {
      return;
    }
    ImmutableList.<ReplicaId>builder()
        .add(placed.granted().server())
        .addAll(placed.granted().helpers())
        .build()
        .stream()
        .map(engines::get)
        .filter(java.util.Objects::nonNull)
        .forEach(action);
  }

  /** Drops requests past their deadline: the node that placed them may no longer be running. */
  private void expire(double nowMillis) {
    if (nowMillis <= earliestExpiryMillis) {
      return;
    }
    ImmutableList<RequestId> expired =
        placements.entrySet().stream()
            .filter(entry -> entry.getValue().expiresMillis() < nowMillis)
            .map(Map.Entry::getKey)
            .collect(ImmutableList.toImmutableList());
    expired.forEach(request -> remove(request, nowMillis));
    earliestExpiryMillis =
        placements.values().stream()
            .mapToDouble(PlacedRequest::expiresMillis)
            .min()
            .orElse(Double.POSITIVE_INFINITY);
  }

  private static double millis(long nanos) {
    return nanos / (double) TimeUnit.MILLISECONDS.toNanos(1);
  }
}
