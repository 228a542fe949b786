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
 * Tracks which VMs are leaving, from the platform's list and from peers that read the list.
 *
 * <p>A VM that was listed as leaving stays so until a list shows it as live: a list without it may
 * be wrong, and a leaving VM must receive no new requests. Not thread-safe.
 */
public final class LeavingMachines {

  /** How long a VM counts as leaving after the last list that showed it as leaving. */
  static final Duration LIST_RETENTION = Duration.ofHours(1);

  /** How long a VM counts as leaving after the last peer report that named it. */
  static final Duration PEER_RETENTION = Duration.ofSeconds(60);

  private final Map<String, Long> listedUntilNanos = new HashMap<>();
  private final Map<String, Long> reportedUntilNanos = new HashMap<>();

  /** Applies a list that was read from the platform. */
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

  /** Applies the names that a peer reports as leaving. */
  public void observePeerReport(Collection<String> names, long nowNanos) {
    for (String name : names) {
      reportedUntilNanos.put(name, nowNanos + PEER_RETENTION.toNanos());
    }
  }

  /** Returns the names that the platform listed as leaving; only these are published to peers. */
  public ImmutableSortedSet<String> listedLeavingNames(long nowNanos) {
    listedUntilNanos.values().removeIf(until -> until - nowNanos <= 0);
    return ImmutableSortedSet.copyOf(listedUntilNanos.keySet());
  }

  /** Returns the names of all VMs that must receive no new requests. */
  public ImmutableSet<String> leavingNames(long nowNanos) {
    reportedUntilNanos.values().removeIf(until -> until - nowNanos <= 0);
    return ImmutableSet.<String>builder()
        .addAll(listedLeavingNames(nowNanos))
        .addAll(reportedUntilNanos.keySet())
        .build();
  }
}
