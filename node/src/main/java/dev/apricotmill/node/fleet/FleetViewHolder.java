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
 * Holds the current {@link FleetView} and replaces it as a whole when one of its sources changes.
 *
 * <p>A read is a volatile read without a lock. Changes are applied sequentially.
 */
public final class FleetViewHolder implements Supplier<FleetView> {

  /** How long membership changes are batched before stewards are assigned again. */
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
   * @param members the initially known daemons
   * @param onChanged called with each new view, sequentially
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

  /** Sets the configuration; it is ignored unless its generation is higher than the current one. */
  public void setConfiguration(Configuration newConfiguration) {
    serialExecutor.execute(
        () -> {
          if (newConfiguration.generation() > configuration.generation()) {
            configuration = newConfiguration;
            rebuild();
          }
        });
  }

  /** Sets the known daemons; the view is rebuilt after a short delay. */
  public void setMembers(MembershipView newMembers) {
    serialExecutor.execute(
        () -> {
          members = newMembers;
          scheduleRebuild();
        });
  }

  /** Sets the names of the VMs that are leaving. */
  public void setLeavingMachines(ImmutableSet<String> newLeavingMachines) {
    serialExecutor.execute(
        () -> {
          if (!newLeavingMachines.equals(leavingMachines)) {
            leavingMachines = newLeavingMachines;
            rebuild();
          }
        });
  }

  /** Evaluates the planned stops again at the current time. */
  public void applyPlannedStops() {
    serialExecutor.execute(
        () -> {
          if (!configuration.plannedStops().isEmpty()) {
            rebuild();
          }
        });
  }

  /** Batches changes: a new daemon learns of hundreds of others at once, in one rebuild. */
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
