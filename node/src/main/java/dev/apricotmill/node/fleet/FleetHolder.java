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
public final class FleetHolder implements Supplier<FleetView> {

  /** How long changes of the daemons are gathered before stewards are chosen anew. */
  static final Duration MEMBERS_DELAY = Duration.ofMillis(20);

  private final Timing timing;
  private final Consumer<FleetView> onChanged;
  private final Executor serial;
  private Configuration configuration = Configuration.NONE;
  private MembershipView members;
  private ImmutableSet<String> leaving = ImmutableSet.of();
  private boolean rebuildPending;
  private volatile FleetView current = FleetView.EMPTY;

  /**
   * Creates a holder.
   *
   * @param timing time and the scheduler
   * @param members the daemons known at first
   * @param onChanged is told of each new view, one after another
   */
  public FleetHolder(Timing timing, MembershipView members, Consumer<FleetView> onChanged) {
    this.timing = timing;
    this.members = members;
    this.onChanged = onChanged;
    this.serial = MoreExecutors.newSequentialExecutor(timing.scheduler());
  }

  @Override
  public FleetView get() {
    return current;
  }

  /** Takes a configuration; an older generation than the one in force is ignored. */
  public void setConfiguration(Configuration changed) {
    serial.execute(
        () -> {
          if (changed.generation() > configuration.generation()) {
            configuration = changed;
            rebuild();
          }
        });
  }

  /** Takes a change of the daemons. */
  public void setMembers(MembershipView changed) {
    serial.execute(
        () -> {
          members = changed;
          rebuildSoon();
        });
  }

  /** Takes the names of the VMs that are leaving. */
  public void setLeaving(ImmutableSet<String> changed) {
    serial.execute(
        () -> {
          if (!changed.equals(leaving)) {
            leaving = changed;
            rebuild();
          }
        });
  }

  /** Judges planned stops anew, because time has passed. */
  public void refresh() {
    serial.execute(
        () -> {
          if (!configuration.plannedStops().isEmpty()) {
            rebuild();
          }
        });
  }

  /** A fresh daemon learns of hundreds of others at once; they share one rebuild. */
  private void rebuildSoon() {
    if (!rebuildPending) {
      rebuildPending = true;
      timing.schedule(MEMBERS_DELAY, () -> serial.execute(this::rebuild));
    }
  }

  private void rebuild() {
    rebuildPending = false;
    current =
        FleetAssembler.assemble(configuration, members, leaving, timing.clock().instant(), current);
    onChanged.accept(current);
  }
}
