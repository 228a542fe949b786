package dev.apricotmill.node.relay;

import dev.apricotmill.coordination.time.Timing;
import dev.apricotmill.core.pool.Placement;
import dev.apricotmill.core.pool.PlacementRequest;
import dev.apricotmill.core.pool.WorkReport;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/** The dispatcher's side: places requests of other nodes and receives their reports. */
public final class PlacementEndpoint {

  private final Timing timing;
  private final LocalPlacer localPlacer;
  private final BlockedParts blockedParts;
  private final LeavingServers leavingServers;
  private final BackendLimits limits;
  private final CrashWatch crashWatch;
  private final BooleanSupplier leaving;

  /**
   * Creates an endpoint that places requests by the schedulers of this node.
   *
   * @param leaving whether the node is shutting down and no longer dispatches
   */
  public PlacementEndpoint(
      Timing timing,
      LocalPlacer localPlacer,
      SharedKnowledge knowledge,
      CrashWatch crashWatch,
      BooleanSupplier leaving) {
    this.timing = timing;
    this.localPlacer = localPlacer;
    blockedParts = knowledge.blockedParts();
    leavingServers = knowledge.leavingServers();
    limits = knowledge.limits();
    this.crashWatch = crashWatch;
    this.leaving = leaving;
  }

  /** Places a request of another node; empty if another dispatcher must be asked. */
  public void place(PlacementRequest placementRequest, Consumer<Optional<Placement>> callback) {
    timing
        .scheduler()
        .execute(
            () -> {
              Optional<String> blockedPart =
                  blockedParts.blockedPartOf(placementRequest.promptParts());
              if (blockedPart.isPresent()) {
                callback.accept(blockedPart.map(Placement.Blocked::new));
              } else if (leaving.getAsBoolean()
                  || !localPlacer.canPlace(placementRequest.service())) {
                callback.accept(Optional.empty());
              } else {
                localPlacer.place(
                    placementRequest, placement -> callback.accept(Optional.of(placement)));
              }
            });
  }

  /** Records reports on the requests of another node. */
  public void report(List<WorkReport> reports) {
    timing.scheduler().execute(() -> reports.forEach(this::record));
  }

  private void record(WorkReport report) {
    localPlacer.recordReport(report);
    if (report instanceof WorkReport.BrokenOff) {
      crashWatch.onEvidence(report.service());
    } else if (report instanceof WorkReport.PartBlocked blocked) {
      blockedParts.block(blocked.part(), BlockedParts.Source.PEER);
    } else if (report instanceof WorkReport.Leaving leavingReport) {
      leavingServers.mark(LeavingServers.Instance.of(leavingReport), LeavingServers.Source.PEER);
    } else if (report instanceof WorkReport.Limited limited) {
      limits.apply(limited);
    }
  }
}
