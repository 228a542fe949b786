package dev.apricotmill.coordination.configuration;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.coordination.identity.DaemonId;
import dev.apricotmill.coordination.identity.Incarnation;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.coordination.membership.FetchResult;
import dev.apricotmill.coordination.membership.Member;
import dev.apricotmill.coordination.membership.MemberState;
import dev.apricotmill.coordination.membership.Membership;
import dev.apricotmill.coordination.membership.MembershipListener;
import dev.apricotmill.coordination.membership.MembershipSettings;
import dev.apricotmill.coordination.membership.MembershipView;
import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.coordination.membership.PeerProbes;
import dev.apricotmill.coordination.membership.ProbeEndpoint;
import dev.apricotmill.coordination.membership.ProbeMessage;
import dev.apricotmill.coordination.membership.ProbeResult;
import dev.apricotmill.coordination.platform.Machine;
import dev.apricotmill.coordination.testing.FakePeerNetwork;
import dev.apricotmill.coordination.testing.FakePlatform;
import dev.apricotmill.coordination.testing.VirtualScheduler;
import dev.apricotmill.coordination.testing.VirtualTime;
import dev.apricotmill.coordination.time.Timing;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletionStage;

/** A simulated daemon that runs membership and a configuration follower. */
final class FollowerDaemon implements MembershipListener, ProbeEndpoint {

  private final String name;
  private final Zone zone;
  private final PeerAddress address;
  private final VirtualScheduler scheduler;
  private final Membership membership;
  private final ConfigurationFollower follower;
  private final List<Long> generations = new ArrayList<>();

  FollowerDaemon(
      VirtualTime time, FakePlatform platform, FakePeerNetwork network, String name, int port) {
    this.name = name;
    this.zone = new Zone(name.substring(0, 2));
    this.address = new PeerAddress("127.0.0.1", port);
    this.scheduler = time.newScheduler();
    Timing timing = time.timingOf(scheduler);
    PeerProbes probes = network.clientFor(name, zone, scheduler);
    Member self =
        new Member(new Incarnation(new DaemonId(name), 1), zone, address, MemberState.ALIVE);
    this.membership =
        new Membership(timing, self, probes, MembershipSettings.defaults(), this, this::generation);
    this.follower =
        new ConfigurationFollower(
            timing,
            platform.clientFor(name, zone, scheduler),
            probes,
            FollowerSettings.defaults(),
            new SplittableRandom(port),
            membership::self,
            membership::view,
            bundle -> generations.add(bundle.generation()));
    network.listen(name, zone, address, scheduler, this);
  }

  void start(ImmutableList<Machine> machines) {
    membership.updateMachines(machines);
    membership.start();
    follower.start();
  }

  Machine machine() {
    return new Machine(name, Machine.Role.ENTRY, zone, address.toString(), Machine.State.LIVE);
  }

  String name() {
    return name;
  }

  Zone zone() {
    return zone;
  }

  ConfigurationFollower follower() {
    return follower;
  }

  VirtualScheduler scheduler() {
    return scheduler;
  }

  Member self() {
    return membership.self();
  }

  MembershipView view() {
    return membership.view();
  }

  long generation() {
    return follower == null ? 0 : follower.generation();
  }

  List<Long> generations() {
    return generations;
  }

  @Override
  public void onViewChanged(MembershipView view) {}

  @Override
  public void onReplaced(Member newSelf) {}

  @Override
  public void onPeerGeneration(PeerAddress peer, long generation) {
    follower.onPeerGeneration(peer, generation);
  }

  @Override
  public ProbeMessage onProbe(ProbeMessage message) {
    return membership.onProbe(message);
  }

  @Override
  public CompletionStage<ProbeResult> onProbeThrough(Member target, ProbeMessage message) {
    return membership.onProbeThrough(target, message);
  }

  @Override
  public FetchResult onFetch(String partName) {
    return follower.onFetch(partName);
  }
}
