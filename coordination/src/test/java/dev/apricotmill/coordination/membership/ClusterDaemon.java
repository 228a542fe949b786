package dev.apricotmill.coordination.membership;

import dev.apricotmill.coordination.identity.DaemonId;
import dev.apricotmill.coordination.identity.Incarnation;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.coordination.platform.Machine;
import dev.apricotmill.coordination.testing.FakePeerNetwork;
import dev.apricotmill.coordination.testing.VirtualScheduler;
import dev.apricotmill.coordination.testing.VirtualTime;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletionStage;

/** A daemon that runs only a {@link Membership}. */
final class ClusterDaemon implements MembershipListener, ProbeEndpoint {

  private final FakePeerNetwork network;
  private final DaemonId id;
  private final Zone zone;
  private final PeerAddress address;
  private final VirtualScheduler scheduler;
  private final Membership membership;
  private final List<Member> replacements = new ArrayList<>();
  private long generation;
  private long highestPeerGeneration;

  ClusterDaemon(VirtualTime time, FakePeerNetwork network, String name, Zone zone, int port) {
    this.network = network;
    this.scheduler = time.newScheduler();
    this.id = new DaemonId(name);
    this.zone = zone;
    this.address = new PeerAddress("127.0.0.1", port);
    this.membership =
        new Membership(
            time.timingOf(scheduler),
            new Member(new Incarnation(id, 1), zone, address, MemberState.ALIVE),
            network.clientFor(name, zone, scheduler),
            MembershipSettings.defaults(),
            this,
            () -> generation);
    network.listen(name, zone, address, scheduler, this);
  }

  DaemonId id() {
    return id;
  }

  VirtualScheduler scheduler() {
    return scheduler;
  }

  Membership membership() {
    return membership;
  }

  List<Member> replacements() {
    return replacements;
  }

  long highestPeerGeneration() {
    return highestPeerGeneration;
  }

  void setGeneration(long newGeneration) {
    generation = newGeneration;
  }

  Machine machine(Machine.State state) {
    return new Machine(id.name(), Machine.Role.ENTRY, zone, address.toString(), state);
  }

  void kill() {
    scheduler.shutdown();
    network.stopListening(address);
  }

  boolean isRunning() {
    return !scheduler.isShutdown();
  }

  MemberState stateOf(ClusterDaemon other) {
    return membership.view().find(other.id).orElseThrow().state();
  }

  @Override
  public void onViewChanged(MembershipView view) {}

  @Override
  public void onReplaced(Member newSelf) {
    replacements.add(newSelf);
  }

  @Override
  public void onPeerGeneration(PeerAddress peer, long peerGeneration) {
    highestPeerGeneration = Math.max(highestPeerGeneration, peerGeneration);
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
    return new FetchResult.NotFound();
  }
}
