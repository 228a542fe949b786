package dev.apricotmill.node.fleet;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ImmutableSortedSet;
import dev.apricotmill.coordination.platform.Machine;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Remembers which VMs are about to go, from the platform's list and from what peers read there.
 *
 * <p>A VM that was listed as leaving stays so until a list shows it as live: a list that lacks it
 * may be wrong, and a VM about to go must get no new work. Not safe for use by several threads.
 */
public final class LeavingMachines {

  /** How long a VM counts as leaving after the last list or peer that said so. */
  static final Duration LIST_RETENTION = Duration.ofHours(1);

  /** How long what a peer said counts. */
  static final Duration PEER_RETENTION = Duration.ofSeconds(60);

  private final Map<String, Long> listedUntilNanos = new HashMap<>();
  private final Map<String, Long> reportedUntilNanos = new HashMap<>();

  /** Takes a list of the platform. */
  public void observeList(List<Machine> machines, long nowNanos) {
    for (Machine machine : machines) {
      if (machine.state() == Machine.State.LEAVING) {
        listedUntilNanos.put(machine.name(), nowNanos + LIST_RETENTION.toNanos());
      } else {
        listedUntilNanos.remove(machine.name());
        reportedUntilNanos.remove(machine.name());
      }
    }
  }

  /** Takes the names that a peer holds to be leaving. */
  public void observePeerReport(Collection<String> names, long nowNanos) {
    for (String name : names) {
      reportedUntilNanos.put(name, nowNanos + PEER_RETENTION.toNanos());
    }
  }

  /** Returns the names that lists named, to be told to peers. */
  public ImmutableSortedSet<String> listedLeavingNames(long nowNanos) {
    listedUntilNanos.values().removeIf(until -> until - nowNanos <= 0);
    return ImmutableSortedSet.copyOf(listedUntilNanos.keySet());
  }

  /** Returns all names of VMs that must get no new work. */
  public ImmutableSet<String> leavingNames(long nowNanos) {
    reportedUntilNanos.values().removeIf(until -> until - nowNanos <= 0);
    return ImmutableSet.<String>builder()
        .addAll(listedLeavingNames(nowNanos))
        .addAll(reportedUntilNanos.keySet())
        .build();
  }
}
