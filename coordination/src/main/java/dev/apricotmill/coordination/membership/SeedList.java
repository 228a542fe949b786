package dev.apricotmill.coordination.membership;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import dev.apricotmill.coordination.identity.DaemonId;
import dev.apricotmill.coordination.platform.Machine;
import java.util.ArrayList;
import java.util.List;

/**
 * Addresses of daemons that are not known to be reachable: entry VMs in the platform's list, and
 * daemons that were declared dead.
 *
 * <p>A few are probed in every interval, so that the two sides of a healed partition find each
 * other again.
 */
final class SeedList {

  /** Used while no peer is reachable; otherwise one address is probed in each interval. */
  private static final int SEEDS_PER_TICK_WHILE_ISOLATED = 4;

  private ImmutableList<Machine> machines = ImmutableList.of();
  private long cursor;

  void set(ImmutableList<Machine> list) {
    machines =
        list.stream()
            .filter(machine -> machine.role() == Machine.Role.ENTRY)
            .collect(ImmutableList.toImmutableList());
  }

  ImmutableSet<String> names() {
    return machines.stream().map(Machine::name).collect(ImmutableSet.toImmutableSet());
  }

  ImmutableSet<String> leavingNames() {
    return machines.stream()
        .filter(machine -> machine.state() == Machine.State.LEAVING)
        .map(Machine::name)
        .collect(ImmutableSet.toImmutableSet());
  }

  /** Returns the addresses to probe in the next interval. */
  ImmutableSet<PeerAddress> next(MembershipView view, Member self) {
    List<PeerAddress> candidates = new ArrayList<>();
    for (Machine machine : machines) {
      if (!isReachable(view, new DaemonId(machine.name()))) {
        candidates.add(PeerAddress.parse(machine.address()));
      }
    }
    view.members().values().stream()
        .filter(member -> member.state() == MemberState.DEAD)
        .forEach(member -> candidates.add(member.address()));
    candidates.remove(self.address());
    int count = view.reachable().size() > 1 ? 1 : SEEDS_PER_TICK_WHILE_ISOLATED;
    ImmutableSet.Builder<PeerAddress> chosen = ImmutableSet.builder();
    for (int i = 0; i < Math.min(count, candidates.size()); i++) {
      chosen.add(candidates.get((int) (cursor++ % candidates.size())));
    }
    return chosen.build();
  }

  private static boolean isReachable(MembershipView view, DaemonId daemon) {
    return view.find(daemon).map(member -> member.state().reachable()).orElse(false);
  }
}
