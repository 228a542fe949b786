package dev.apricotmill.node.relay;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import dev.apricotmill.coordination.membership.Member;
import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.coordination.membership.RendezvousHash;
import dev.apricotmill.coordination.testing.FakePlatform;
import dev.apricotmill.coordination.testing.VirtualTime;
import dev.apricotmill.coordination.time.Timing;
import dev.apricotmill.core.prompt.PromptParts;
import dev.apricotmill.core.relay.ColdStart;
import dev.apricotmill.core.relay.ColdTolerance;
import dev.apricotmill.core.relay.GenerationSize;
import dev.apricotmill.core.request.RequestId;
import dev.apricotmill.core.request.ServiceName;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;

/** Nodes that relay to one pool of engines and place requests through its dispatcher. */
final class RelayFleet {

  private final VirtualTime time = new VirtualTime();
  private final Timing network = time.newTiming();
  private final FakePlatform store = new FakePlatform(time);
  private final Random random;
  private final Optional<ColdStart> coldStart;
  private final Optional<ColdTolerance> tolerance;
  private final EngineFleet engines;
  private final List<FleetNode> nodes = new ArrayList<>();
  private int started;
  private int requests;

  RelayFleet(int nodeCount, int engineCount, long seed) {
    this(nodeCount, engineCount, seed, Optional.empty(), Optional.empty());
  }

  /** Creates a fleet whose servers are cold after their start. */
  RelayFleet(
      int nodeCount, int engineCount, long seed, ColdStart coldStart, ColdTolerance tolerance) {
    this(nodeCount, engineCount, seed, Optional.of(coldStart), Optional.of(tolerance));
  }

  private RelayFleet(
      int nodeCount,
      int engineCount,
      long seed,
      Optional<ColdStart> coldStart,
      Optional<ColdTolerance> tolerance) {
    random = new Random(seed);
    this.coldStart = coldStart;
    this.tolerance = tolerance;
    engines = new EngineFleet(network, random, engineCount, this::applyServers);
    coldStart.ifPresent(cold -> engines.record().colds().setColdTime(cold.duration()));
    for (int i = 0; i < nodeCount; i++) {
      nodes.add(newNode());
    }
    applyMembers();
    advance(Duration.ofSeconds(1));
  }

  EngineFleet engines() {
    return engines;
  }

  Duration now() {
    return Duration.ofNanos(time.nanoTime());
  }

  void advance(Duration duration) {
    time.advance(duration);
  }

  /** Sends a prompt to a random node. */
  RelayFixture.RecordedCaller send(PromptParts prompt) {
    FleetNode node = nodes.get(random.nextInt(nodes.size()));
    return send(node, newRequest("/stream/", Optional.of(new GenerationSize(1_000, 100)), prompt));
  }

  /** Sends a request to a node. */
  RelayFixture.RecordedCaller send(int node, RelayRequest request) {
    return send(nodes.get(node), request);
  }

  private RelayFixture.RecordedCaller send(FleetNode node, RelayRequest request) {
    RelayFixture.RecordedCaller caller = new RelayFixture.RecordedCaller();
    engines.record().accepted(request.id(), now());
    node.accept(request, caller);
    return caller;
  }

  /** Returns a request with a new identifier. */
  RelayRequest newRequest(String path, Optional<GenerationSize> size, PromptParts prompt) {
    return new RelayRequest(
        new RequestId("r" + requests++),
        "host",
        "POST",
        path,
        ImmutableMap.of(),
        new byte[0],
        Optional.of("key"),
        Optional.of(Duration.ofSeconds(5)),
        size,
        prompt,
        OptionalLong.empty());
  }

  int nodeCount() {
    return nodes.size();
  }

  String name(int node) {
    return nodes.get(node).member().incarnation().toString();
  }

  /** Returns the parts that any node blocks. */
  ImmutableSet<String> blockedParts() {
    return nodes.stream()
        .flatMap(node -> node.blockedParts().parts().stream())
        .collect(ImmutableSet.toImmutableSet());
  }

  /** Ends the node that dispatches the pool; all nodes learn of it at once. */
  void killDispatcher() {
    killDispatcher(RelayFixture.POOL);
  }

  /** Ends the node that dispatches a service; all nodes learn of it at once. */
  void killDispatcher(ServiceName service) {
    Member dispatcher = RendezvousHash.ranked(members(), service.value()).findFirst().orElseThrow();
    nodes.stream().filter(node -> node.member().equals(dispatcher)).forEach(FleetNode::kill);
    nodes.removeIf(node -> node.member().equals(dispatcher));
    applyMembers();
  }

  /** Lets every second node have a list without the node that dispatches a service. */
  void hideDispatcherFromHalf(ServiceName service) {
    ImmutableList<Member> ranked =
        RendezvousHash.ranked(members(), service.value()).collect(ImmutableList.toImmutableList());
    ImmutableList<Member> successors = ranked.subList(1, ranked.size());
    for (int i = 1; i < ranked.size(); i += 2) {
      Member member = ranked.get(i);
      find(member.address()).ifPresent(node -> node.applyMembers(successors));
    }
  }

  /** Replaces a node by a new one. */
  void restart(int node) {
    nodes.get(node).kill();
    nodes.set(node, newNode());
    excuse(node, Duration.ZERO);
    applyMembers();
  }

  /** Excuses a disturbed node from the limits of servers. */
  private void excuse(int node, Duration duration) {
    engines.record().limits().excuse(nodes.get(node).number(), now(), now().plus(duration));
  }

  /** Lets the process of a node stand still for a while. */
  void freeze(int node, Duration duration) {
    excuse(node, duration);
    nodes.get(node).disturb(FleetNode.Disturbance.FROZEN, duration);
  }

  /** Lets servers turn cold; nodes read so within 400 ms, each at its own time. */
  void turnCold(ImmutableList<FleetServer> servers) {
    servers.forEach(server -> engines.record().colds().turnCold(server, now()));
    nodes.forEach(
        node ->
            network.schedule(Duration.ofMillis(random.nextInt(400)), node::applyServersIfAlive));
  }

  /** Keeps the platform's list from a node for a while. */
  void cutFromList(int node, Duration duration) {
    nodes.get(node).disturb(FleetNode.Disturbance.WITHOUT_LIST, duration);
  }

  /** Cuts a node off from all others for a while. */
  void cutFromPeers(int node, Duration duration) {
    excuse(node, duration);
    nodes.get(node).disturb(FleetNode.Disturbance.WITHOUT_PEERS, duration);
  }

  /** Replaces all nodes by new ones, which know nothing but what the store holds. */
  void restartAllNodes() {
    int count = nodes.size();
    nodes.forEach(FleetNode::kill);
    nodes.clear();
    for (int i = 0; i < count; i++) {
      nodes.add(newNode());
    }
    applyMembers();
  }

  private ImmutableList<Member> members() {
    return nodes.stream().map(FleetNode::member).collect(ImmutableList.toImmutableList());
  }

  private void applyMembers() {
    ImmutableList<Member> members = members();
    nodes.forEach(node -> node.applyMembers(members));
  }

  private FleetNode newNode() {
    return new FleetNode(started++, time, store, engines, this::find, coldStart, tolerance);
  }

  private Optional<FleetNode> find(PeerAddress address) {
    return nodes.stream().filter(node -> node.member().address().equals(address)).findFirst();
  }

  private void applyServers() {
    nodes.forEach(FleetNode::applyServers);
  }
}
