package dev.apricotmill.node.relay;

import dev.apricotmill.coordination.time.Timing;
import dev.apricotmill.core.prompt.CrashAttribution;
import dev.apricotmill.core.request.ServiceName;
import java.util.HashSet;
import java.util.Set;

/**
 * Blocks the part of prompts under which the engines of a pool end one after the other. Used by the
 * node that dispatches the pool, since each other node sees only a few of the crashes. Runs on the
 * relay's executor.
 */
public final class CrashWatch {

  private final Timing timing;
  private final LocalPlacer localPlacer;
  private final BlockedParts blockedParts;
  private final Set<ServiceName> scheduled = new HashSet<>();

  /** Creates a watch over the pools of {@code localPlacer}. */
  public CrashWatch(Timing timing, LocalPlacer localPlacer, BlockedParts blockedParts) {
    this.timing = timing;
    this.localPlacer = localPlacer;
    this.blockedParts = blockedParts;
  }

  /** Looks for a part to blame once the reports on the latest crash are in. */
  void onEvidence(ServiceName service) {
    if (scheduled.add(service)) {
      timing.schedule(
          CrashAttribution.SETTLE_TIME,
          () -> {
            scheduled.remove(service);
            blameCrashes(service);
          });
    }
  }

  private void blameCrashes(ServiceName service) {
    localPlacer
        .poolScheduler(service)
        .flatMap(pool -> pool.findCrashingPart(blockedParts::contains, timing.nanoTime()))
        .ifPresent(part -> blockedParts.block(part, BlockedParts.Source.CRASHES));
  }
}
