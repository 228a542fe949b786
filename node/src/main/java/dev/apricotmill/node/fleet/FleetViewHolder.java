package dev.apricotmill.node.fleet;

import com.google.common.collect.ImmutableSet;
import com.google.common.util.concurrent.MoreExecutors;
import dev.apricotmill.coordination.membership.MembershipView;
import dev.apricotmill.coordination.time.Timing;
import dev.apricotmill.core.configuration.Configuration;
import java.time.Duration;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Keeps the current {@link FleetView} and replaces it as a whole when one of its sources changes.
 *
 * <p>Reading is a plain volatile read. Changes are applied one after another.
 */
public final class FleetViewHolder implements Supplier<FleetView> {

  /** How long changes of the daemons are gathered before stewards are chosen anew. */
  static final Duration MEMBERSHIP_DEBOUNCE = Duration.ofMillis(20);

  private final Timing timing;
  private final Consumer<FleetView> onChanged;
  private final Executor serialExecutor;
  private Configuration configuration = Configuration.NONE;
  private MembershipView members;
  private ImmutableSet<String> leavingMachines = ImmutableSet.of();
  private boolean rebuildPending;
  private volatile FleetView current = FleetView.EMPTY;

  /**
   * Creates a holder.
   *
   * @param timing time and the scheduler
   * @param members the daemons known at first
   * @param onChanged is told of each new view, one after another
   */
  public FleetViewHolder(Timing timing, MembershipView members, Consumer<FleetView> onChanged) {
    this.timing = timing;
    this.members = members;
    this.onChanged = onChanged;
    this.serialExecutor = MoreExecutors.newSequentialExecutor(timing.scheduler());
  }

  @Override
  public FleetView get() {
    return current;
  }

  /** Takes a configuration; an older generation than the one in force is ignored. */
  public void setConfiguration(Configuration newConfiguration) {
    serialExecutor.execute(
        () -> {
          if (newConfiguration.generation() > configuration.generation()) {
            configuration = newConfiguration;
            rebuild();
          }
        });
  }

  /** Takes a change of the daemons. */
  public void setMembers(MembershipView newMembers) {
    serialExecutor.execute(
        () -> {
          members = newMembers;
          scheduleRebuild();
        });
  }

  /** Takes the names of the VMs that are leaving. */
  public void setLeavingMachines(ImmutableSet<String> newLeavingMachines) {
    serialExecutor.execute(
        () -> {
          if (!newLeavingMachines.equals(leavingMachines)) {
            leavingMachines = newLeavingMachines;
            rebuild();
          }
        });
  }

  /** Judges planned stops anew, because time has passed. */
  public void applyPlannedStops() {
    serialExecutor.execute(
        () -> {
          if (!configuration.plannedStops().isEmpty()) {
            rebuild();
          }
        });
  }

  /** A fresh daemon learns of hundreds of others at once; they share one rebuild. */
  private void scheduleRebuild() {
    if (!rebuildPending) {
      rebuildPending = true;
      timing.schedule(MEMBERSHIP_DEBOUNCE, () -> serialExecutor.execute(this::rebuild));
    }
  }

  private void rebuild() {
    rebuildPending = false;
    current =
        FleetAssembler.assemble(
            configuration, members, leavingMachines, timing.clock().instant(), current);
    onChanged.accept(current);
  }
}
