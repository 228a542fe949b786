package dev.apricotmill.node.relay;

import com.google.common.collect.Comparators;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import dev.apricotmill.coordination.time.Timing;
import dev.apricotmill.core.pool.ExcludedHelpers;
import dev.apricotmill.core.pool.Placement;
import dev.apricotmill.core.pool.PlacementRequest;
import dev.apricotmill.core.pool.PlainServiceScheduler;
import dev.apricotmill.core.pool.PoolScheduler;
import dev.apricotmill.core.pool.WorkReport;
import dev.apricotmill.core.prompt.PromptParts;
import dev.apricotmill.core.relay.BackendServer;
import dev.apricotmill.core.relay.EngineCostModel;
import dev.apricotmill.core.relay.ServiceProfile;
import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.core.request.RequestId;
import dev.apricotmill.core.request.ServiceName;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/** Places requests by the state that this node alone has. Runs on the relay's executor. */
public final class LocalPlacer implements RequestPlacer {

  private static final Duration DEFAULT_RETRY_AFTER = Duration.ofMillis(500);

  /** A report of a first event takes some milliseconds to arrive, also across zones. */
  private static final Duration MIN_FIRST_EVENT_TIME = Duration.ofMillis(100);

  /** A response whose target has passed or is tight is late after so many expected times. */
  private static final int EXPECTED_TIMES_UNTIL_LATE = 2;

  private final Timing timing;
  private final BackendLimits limits;
  private final Map<ServiceName, PoolScheduler> poolSchedulers = new HashMap<>();
  private ServingView view = ServingView.EMPTY;
  private GrantShare grantShare = service -> GrantShare.WHOLE;
  private final Map<ServiceName, PlainServiceScheduler> plainSchedulers = new HashMap<>();
  private Optional<RandomGenerator> plainRandom = Optional.empty();
  private BiConsumer<ServiceName, PlainServiceScheduler.WeightChange> weightListener =
      (service, change) -> {};
  private @Nullable CompetitionMonitor competitionMonitor;
  private int rotation;

  /** Creates a placer without pools. */
  public LocalPlacer(Timing timing, BackendLimits limits) {
    this.timing = timing;
    this.limits = limits;
  }

  /**
   * Places requests of services without engines by how their servers answer, instead of on each
   * server in turn.
   *
   * @param random chooses among equal servers
   * @param listener learns of servers that begin to fail, and of their recovery
   */
  public void weighAnswers(
      RandomGenerator random,
      BiConsumer<ServiceName, PlainServiceScheduler.WeightChange> listener) {
    plainRandom = Optional.of(random);
    weightListener = listener;
  }

  /** Sets the share of servers' limits that this node grants from. */
  void setGrantShare(GrantShare newGrantShare) {
    grantShare = newGrantShare;
  }

  /** Sets what is told of placements where prompts compete for engines. */
  public void setCompetitionMonitor(CompetitionMonitor monitor) {
    competitionMonitor = monitor;
  }

  /** Updates the pools and their servers. */
  public void update(ServingView newView) {
    view = newView;
    view.servers().ifPresent(table -> limits.update(table.serversById().values()));
    limits.ramps().update(view);
    view.configuration()
        .ifPresent(configuration -> configuration.services().values().forEach(this::update));
  }

  private void update(ServiceProfile profile) {
    Optional<EngineCostModel> costModel = profile.engine();
    if (costModel.isPresent() && view.servers().isPresent()) {
      PoolScheduler pool =
          poolSchedulers.computeIfAbsent(
              profile.name(), name -> new PoolScheduler(costModel.get()));
      pool.setFailureCoolDown(!limits.ramps().isEnabled(profile.name()));
      pool.updateServers(view.serversOf(profile.name()), costModel.get());
    }
    if (costModel.isEmpty() && view.servers().isPresent()) {
      plainScheduler(profile.name())
          .ifPresent(
              scheduler ->
                  scheduler.retainServers(
                      view.serversOf(profile.name()).stream().map(BackendServer::id).toList()));
    }
  }

  /** Returns the scheduler of a service without engines; empty if answers are not weighed. */
  private Optional<PlainServiceScheduler> plainScheduler(ServiceName service) {
    return plainRandom.map(
        random ->
            plainSchedulers.computeIfAbsent(service, name -> new PlainServiceScheduler(random)));
  }

  /** Returns the known pools. */
  ImmutableSet<ServiceName> pools() {
    return ImmutableSet.copyOf(poolSchedulers.keySet());
  }

  /** Returns the scheduler of a pool; empty if the pool is not known. */
  public Optional<PoolScheduler> poolScheduler(ServiceName service) {
    return Optional.ofNullable(poolSchedulers.get(service));
  }

  /** Returns reports on the parts of prompts to which most responses of a pool were written. */
  ImmutableList<WorkReport> mostWrittenParts(ServiceName service, int limit) {
    long now = timing.nanoTime();
    return poolScheduler(service).stream()
        .flatMap(pool -> pool.mostWritten(limit, now).stream())
        .map(
            written ->
                new WorkReport.PartWritten(
                    service,
                    written.part(),
                    written.weight(),
                    Duration.ofMillis(
                        TimeUnit.NANOSECONDS.toMillis(now) - (long) written.lastMillis())))
        .collect(ImmutableList.toImmutableList());
  }

  /** Returns whether this node knows the servers of a service. */
  boolean canPlace(ServiceName service) {
    return poolSchedulers.containsKey(service)
        || (view.servers().isPresent()
            && view.configuration()
                .map(configuration -> configuration.services().get(service))
                .filter(profile -> profile.engine().isEmpty())
                .isPresent());
  }

  /** Returns the servers of a service that this node knows. */
  ImmutableList<BackendServer> serversOf(ServiceName service) {
    return view.serversOf(service);
  }

  /** Returns a server that this node knows. */
  Optional<BackendServer> server(ReplicaId id) {
    return view.servers().map(table -> table.serversById().get(id));
  }

  @Override
  public void place(PlacementRequest placementRequest, Consumer<Placement> callback) {
    callback.accept(place(placementRequest, grantShare.of(placementRequest.service())));
  }

  /** Places a request for which no dispatcher has responded, on no server with a limit. */
  void placeWithoutDispatcher(PlacementRequest placementRequest, Consumer<Placement> callback) {
    callback.accept(place(placementRequest, GrantShare.NONE));
  }

  private Placement place(PlacementRequest request, double share) {
    if (limits.isEmpty()) {
      return placeOnFree(request);
    }
    ImmutableList<BackendServer> candidates = candidates(request);
    ImmutableSet<ReplicaId> unavailable = limits.notFree(candidates, share);
    Placement placement = placeOnFree(request.excluding(unavailable));
    if (placement instanceof Placement.Granted granted) {
      recordAtRamp(request, granted);
      return takeFromLimit(granted, share);
    }
    boolean isLimitTheCause = unavailable.size() == candidates.size() && !candidates.isEmpty();
    return isLimitTheCause && share > GrantShare.NONE
        ? new Placement.Full(limits.timeUntilAnyIsFree(candidates).orElse(DEFAULT_RETRY_AFTER))
        : placement;
  }

  private ImmutableList<BackendServer> candidates(PlacementRequest request) {
    return view.readyServers(request.service()).stream()
        .filter(server -> !request.excludedServers().contains(server.id()))
        .collect(ImmutableList.toImmutableList());
  }

  /** Places a request on any servers that it does not exclude. */
  private Placement placeOnFree(PlacementRequest request) {
    return poolScheduler(request.service())
        .map(pool -> placeOnEngines(pool, request))
        .orElseGet(() -> placeOnServer(request));
  }

  /** Places a request on engines, of which some may generate a response but not help with one. */
  private Placement placeOnEngines(PoolScheduler pool, PlacementRequest request) {
    ExcludedHelpers excludedHelpers =
        limits.isEmpty() ? ExcludedHelpers.NONE : limits.excludedHelpers(candidates(request));
    Placement placement = pool.place(request, excludedHelpers, timing.nanoTime());
    CompetitionMonitor monitor = competitionMonitor;
    if (monitor != null) {
      monitor.onPlaced(request.service(), placement, pool.enginesKeptFree());
    }
    return placement;
  }

  /**
   * Places a request on a server of a service without engines: by how they answer, or on each in
   * turn if answers are not weighed.
   */
  private Placement placeOnServer(PlacementRequest request) {
    ImmutableList<BackendServer> candidates = candidates(request);
    if (candidates.isEmpty()) {
      return new Placement.Full(DEFAULT_RETRY_AFTER);
    }
    BackendServer chosen =
        plainScheduler(request.service())
            .flatMap(scheduler -> scheduler.place(request, candidates, timing.nanoTime()))
            .orElseGet(() -> candidates.get(Math.floorMod(rotation++, candidates.size())));
    return new Placement.Granted(
        chosen.id(), ImmutableList.of(), request.firstEventTarget(), /* reservedTokens= */ 0);
  }

  /** Records a placed request at the ramp of its server. */
  private void recordAtRamp(PlacementRequest request, Placement.Granted granted) {
    Duration allowed =
        Comparators.max(
            request.firstEventTarget(),
            Comparators.max(
                MIN_FIRST_EVENT_TIME,
                granted.expectedFirstEvent().multipliedBy(EXPECTED_TIMES_UNTIL_LATE)));
    server(granted.server())
        .ifPresent(server -> limits.ramps().onGranted(server, request.requestId(), allowed));
  }

  private Placement takeFromLimit(Placement.Granted granted, double share) {
    server(granted.server()).ifPresent(server -> limits.ramps().takeFromColdRate(server, share));
    return server(granted.server())
        .filter(limits::isLimited)
        .map(
            server -> {
              limits.take(server, share);
              return granted.withRequestsPerSecond(limits.requestsPerSecond(server));
            })
        .orElse(granted);
  }

  /** Records a report on a request that this or another node has placed. */
  public void recordReport(WorkReport report) {
    Optional<PoolScheduler> pool = poolScheduler(report.service());
    if (pool.isPresent()) {
      report.applyTo(pool.get(), timing.nanoTime());
    } else if (plainRandom.isPresent()) {
      plainScheduler(report.service())
          .flatMap(scheduler -> scheduler.record(report, timing.nanoTime()))
          .ifPresent(change -> weightListener.accept(report.service(), change));
    }
    limits.ramps().onReport(report);
    if (report instanceof WorkReport.Running running && running.prefilling()) {
      recordAtRamp(running.request(), running.placement());
    }
  }

  @Override
  public void firstEvent(ServiceName service, RequestId request) {
    recordReport(new WorkReport.FirstEvent(service, request));
  }

  @Override
  public void ended(ServiceName service, RequestId request, boolean completed) {
    recordReport(new WorkReport.Ended(service, request, completed));
  }

  @Override
  public void failed(ServiceName service, ReplicaId server, boolean unreachable) {
    recordReport(new WorkReport.Failed(service, server, unreachable));
  }

  @Override
  public void brokenOff(ServiceName service, ReplicaId server, PromptParts promptParts) {
    recordReport(new WorkReport.BrokenOff(service, server, promptParts, Duration.ZERO));
  }
}
