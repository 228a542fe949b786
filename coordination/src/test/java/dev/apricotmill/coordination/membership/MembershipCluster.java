package dev.apricotmill.coordination.membership;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.coordination.platform.Machine;
import dev.apricotmill.coordination.testing.FakePeerNetwork;
import dev.apricotmill.coordination.testing.VirtualTime;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** A cluster of {@link ClusterDaemon}s on virtual time. */
final class MembershipCluster {

  private final VirtualTime time = new VirtualTime();
  private final FakePeerNetwork network = new FakePeerNetwork(time);
  private final List<ClusterDaemon> daemons = new ArrayList<>();

  MembershipCluster(int zones, int daemonsPerZone) {
    for (int zone = 0; zone < zones; zone++) {
      for (int i = 0; i < daemonsPerZone; i++) {
        daemons.add(
            new ClusterDaemon(
                time, network, "d" + zone + "-" + i, new Zone("z" + zone), daemons.size() + 1));
      }
    }
    daemons.forEach(daemon -> daemon.membership().updateMachines(machines()));
    daemons.forEach(daemon -> daemon.membership().start());
  }

  ImmutableList<Machine> machines() {
    return daemons.stream()
        .map(daemon -> daemon.machine(Machine.State.LIVE))
        .collect(ImmutableList.toImmutableList());
  }

  ClusterDaemon daemon(int index) {
    return daemons.get(index);
  }

  FakePeerNetwork network() {
    return network;
  }

  ImmutableList<ClusterDaemon> daemons() {
    return ImmutableList.copyOf(daemons);
  }

  void advance(Duration duration) {
    time.advance(duration);
  }

  /** Returns whether every running daemon's view of each running daemon matches that daemon. */
  boolean allAgree() {
    return daemons.stream().filter(ClusterDaemon::isRunning).allMatch(this::agreesWithAllRunning);
  }

  private boolean agreesWithAllRunning(ClusterDaemon observer) {
    return daemons.stream()
        .filter(ClusterDaemon::isRunning)
        .allMatch(
            observed ->
                observer
                    .membership()
                    .view()
                    .find(observed.id())
                    .filter(member -> member.equals(observed.membership().self()))
                    .isPresent());
  }
}
