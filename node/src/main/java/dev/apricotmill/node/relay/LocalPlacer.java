package dev.apricotmill.node.relay;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import dev.apricotmill.coordination.time.Timing;
import dev.apricotmill.core.pool.Placement;
import dev.apricotmill.core.pool.PlacementRequest;
import dev.apricotmill.core.pool.PoolScheduler;
import dev.apricotmill.core.pool.WorkReport;
import dev.apricotmill.core.prompt.PromptParts;
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
import java.util.function.Consumer;

/** Places requests by the state that this node alone has. Runs on the relay's executor. */
public final class LocalPlacer implements RequestPlacer {

  private static final Duration DEFAULT_RETRY_AFTER = Duration.ofMillis(500);

  private final Timing timing;
  private final Map<ServiceName, PoolScheduler> poolSchedulers = new HashMap<>();

  /** Creates a placer without pools. */
  public LocalPlacer(Timing timing) {
    this.timing = timing;
  }

  /** Updates the pools and their servers. */
  public void update(ServingView view) {
    view.configuration()
        .ifPresent(
            configuration ->
                configuration.services().values().forEach(profile -> update(profile, view)));
  }

  private void update(ServiceProfile profile, ServingView view) {
    Optional<EngineCostModel> costModel = profile.engine();
    if (costModel.isPresent() && view.servers().isPresent()) {
      poolSchedulers
          .computeIfAbsent(profile.name(), name -> new PoolScheduler(costModel.get()))
          .updateServers(view.serversOf(profile.name()), costModel.get());
    }
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

  @Override
  public void place(PlacementRequest placementRequest, Consumer<Placement> callback) {
    callback.accept(
        poolScheduler(placementRequest.service())
            .map(pool -> pool.place(placementRequest, timing.nanoTime()))
            .orElseGet(() -> new Placement.Full(DEFAULT_RETRY_AFTER)));
  }

  /** Records a report on a request that this or another node has placed. */
  public void recordReport(WorkReport report) {
    poolScheduler(report.service()).ifPresent(pool -> report.applyTo(pool, timing.nanoTime()));
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
