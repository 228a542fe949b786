package dev.apricotmill.node.relay;

import com.google.common.collect.ImmutableSet;
import dev.apricotmill.coordination.time.Timing;
import dev.apricotmill.core.pool.Placement;
import dev.apricotmill.core.pool.PlacementAsk;
import dev.apricotmill.core.pool.PoolLedger;
import dev.apricotmill.core.pool.WorkReport;
import dev.apricotmill.core.relay.EngineFigures;
import dev.apricotmill.core.relay.ServiceProfile;
import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.core.request.RequestId;
import dev.apricotmill.core.request.ServiceName;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/** Places requests by what this node alone has placed. Runs on the relay's executor. */
public final class LocalPlacer implements RequestPlacer {

  private static final Duration DEFAULT_RETRY_AFTER = Duration.ofMillis(500);

  private final Timing timing;
  private final Map<ServiceName, PoolLedger> schedulers = new HashMap<>();

  /** Creates placements that know no pool. */
  public LocalPlacer(Timing timing) {
    this.timing = timing;
  }

  /** Takes over the pools and their servers. */
  public void update(ServingView view) {
    view.configuration()
        .ifPresent(
            configuration -> configuration.services().values().forEach(p -> update(p, view)));
  }

  private void update(ServiceProfile profile, ServingView view) {
    Optional<EngineFigures> figures = profile.engine();
    if (figures.isPresent() && view.servers().isPresent()) {
      schedulers
          .computeIfAbsent(profile.name(), name -> new PoolLedger(figures.get()))
          .updateServers(view.serversOf(profile.name()), figures.get());
    }
  }

  /** Returns the pools that are known. */
  ImmutableSet<ServiceName> pools() {
    return ImmutableSet.copyOf(schedulers.keySet());
  }

  /** Returns the ledger of a pool. */
  public Optional<PoolLedger> scheduler(ServiceName service) {
    return Optional.ofNullable(schedulers.get(service));
  }

  @Override
  public void place(PlacementAsk placementRequest, Consumer<Placement> callback) {
    callback.accept(
        scheduler(placementRequest.service())
            .map(scheduler -> scheduler.place(placementRequest, timing.nanoTime()))
            .orElseGet(() -> new Placement.Full(DEFAULT_RETRY_AFTER)));
  }

  /** Notes what became of work, wherever it was placed. */
  public void record(WorkReport report) {
    scheduler(report.service()).ifPresent(scheduler -> report.noteIn(scheduler, timing.nanoTime()));
  }

  @Override
  public void firstEvent(ServiceName service, RequestId request) {
    record(new WorkReport.FirstEvent(service, request));
  }

  @Override
  public void ended(ServiceName service, RequestId request) {
    record(new WorkReport.Ended(service, request));
  }

  @Override
  public void failed(ServiceName service, ReplicaId server, boolean unreachable) {
    record(new WorkReport.Failed(service, server, unreachable));
  }
}
