package dev.apricotmill.node.relay;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import dev.apricotmill.coordination.follow.FollowObserver;
import dev.apricotmill.coordination.follow.ReadTimestamp;
import dev.apricotmill.coordination.follow.SharedFollower;
import dev.apricotmill.coordination.identity.DaemonId;
import dev.apricotmill.coordination.identity.Incarnation;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.coordination.membership.Member;
import dev.apricotmill.coordination.membership.MemberState;
import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.coordination.membership.RendezvousHash;
import dev.apricotmill.coordination.platform.Platform;
import dev.apricotmill.coordination.testing.FakePlatform;
import dev.apricotmill.coordination.testing.VirtualScheduler;
import dev.apricotmill.coordination.testing.VirtualTime;
import dev.apricotmill.coordination.time.Timing;
import dev.apricotmill.core.pool.Placement;
import dev.apricotmill.core.pool.PlacementRequest;
import dev.apricotmill.core.pool.WorkReport;
import dev.apricotmill.core.prompt.PromptParts;
import dev.apricotmill.core.relay.GenerationSize;
import dev.apricotmill.core.request.RequestId;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.function.Consumer;

/** Nodes that relay to one pool of engines and place requests through its dispatcher. */
final class RelayFleet {

  private static final Duration NETWORK_DELAY = Duration.ofMillis(1);
  private static final int RETRIES_PER_THOUSAND_REQUESTS = 200;
  private static final int RETRY_RESERVE = 100;

  private final VirtualTime time = new VirtualTime();
  private final Timing network = time.newTiming();
  private final FakePlatform store = new FakePlatform(time);
  private final Random random;
  private final EngineFleet engines;
  private final List<Node> nodes = new ArrayList<>();
  private int started;
  private int requests;

  RelayFleet(int nodeCount, int engineCount, long seed) {
    random = new Random(seed);
    engines = new EngineFleet(network, random, engineCount, this::applyServers);
    for (int i = 0; i < nodeCount; i++) {
      nodes.add(new Node());
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
    RelayFixture.RecordedCaller caller = new RelayFixture.RecordedCaller();
    nodes
        .get(random.nextInt(nodes.size()))
        .relay
        .accept(
            new RelayRequest(
                new RequestId("r" + requests++),
                "host",
                "POST",
                "/stream/",
                ImmutableMap.of(),
                new byte[0],
                Optional.of("key"),
                Optional.of(Duration.ofSeconds(5)),
                Optional.of(new GenerationSize(1_000, 100)),
                prompt,
                OptionalLong.empty()),
            caller);
    return caller;
  }

  int nodeCount() {
    return nodes.size();
  }

  /** Returns the parts that any node blocks. */
  ImmutableSet<String> blockedParts() {
    return nodes.stream()
        .flatMap(node -> node.blockedParts.parts().stream())
        .collect(ImmutableSet.toImmutableSet());
  }

  /** Ends the node that dispatches the pool; all nodes learn of it at once. */
  void killDispatcher() {
    Member dispatcher =
        RendezvousHash.ranked(members(), RelayFixture.POOL.value()).findFirst().orElseThrow();
    nodes.stream().filter(node -> node.member.equals(dispatcher)).forEach(Node::kill);
    nodes.removeIf(node -> node.member.equals(dispatcher));
    applyMembers();
  }

  /** Replaces all nodes by new ones, which know nothing but what the store holds. */
  void restartAllNodes() {
    int count = nodes.size();
    nodes.forEach(Node::kill);
    nodes.clear();
    for (int i = 0; i < count; i++) {
      nodes.add(new Node());
    }
    applyMembers();
  }

  private ImmutableList<Member> members() {
    return nodes.stream().map(node -> node.member).collect(ImmutableList.toImmutableList());
  }

  private void applyMembers() {
    nodes.forEach(
        node ->
            node.timing
                .scheduler()
                .execute(
                    () -> {
                      node.placer.updateMembers(members());
                      node.relay.update(view -> view.withNodeCount(members().size()));
                    }));
  }

  private void applyServers() {
    nodes.forEach(
        node -> node.timing.scheduler().execute(() -> node.state.serversRead(engines.entries())));
  }

  /** One node and what other nodes reach of it. */
  private final class Node implements DispatcherClient {

    private final VirtualScheduler scheduler = time.newScheduler();
    private final Timing timing = time.timingOf(scheduler);
    private final Member member;
    private final LocalPlacer localPlacer = new LocalPlacer(timing);
    private final BlockedParts blockedParts;
    private final DispatcherPlacer placer;
    private final EngineFleet.Connections connections = engines.new Connections();
    private final PlacementEndpoint endpoint;
    private final RelayNode relay;
    private final ServingState state;

    Node() {
      int number = started++;
      EventLog log = (event, fields) -> {};
      member =
          new Member(
              new Incarnation(new DaemonId("n" + number), 1),
              new Zone("a"),
              new PeerAddress("10.0.1.1", 1000 + number),
              MemberState.ALIVE);
      blockedParts = new BlockedParts(timing, log);
      LeavingServers leavingServers = new LeavingServers(timing, log);
      CrashWatch crashWatch = new CrashWatch(timing, localPlacer, blockedParts);
      placer =
          new DispatcherPlacer(
              timing, localPlacer, this, member, blockedParts, leavingServers, crashWatch, log);
      endpoint =
          new PlacementEndpoint(
              timing, localPlacer, blockedParts, leavingServers, crashWatch, () -> false);
      Platform storeClient = store.clientFor("n" + number, new Zone("a"), scheduler);
      SharedFollower follower =
          new SharedFollower(
              storeClient,
              timing,
              member,
              (peer, request, limits, callback) -> {},
              FollowObserver.NONE);
      follower.follow(
          BlockedPartDirectory.KIND,
          BlockedPartDirectory.FOLLOW_SETTINGS,
          new BlockedPartDirectory(storeClient, timing, blockedParts));
      follower.start();
      relay =
          new RelayNode(
              timing,
              new RelaySettings(
                  Duration.ofHours(1),
                  RelayFixture.CONFIGURATION_BOUND,
                  Duration.ofSeconds(10),
                  RETRIES_PER_THOUSAND_REQUESTS,
                  RETRY_RESERVE),
              connections,
              placer,
              blockedParts,
              log,
              new SimpleMeterRegistry());
      relay.update(
          view ->
              view.withConfiguration(
                  RelayFixture.configuration(1),
                  Optional.of(new ReadTimestamp(timing.nanoTime(), timing.clock().millis()))));
      state = new ServingState(relay, leavingServers, log, localPlacer::update);
      state.serversRead(engines.entries());
    }

    void kill() {
      scheduler.pause();
      connections.close();
    }

    @Override
    public void requestPlacement(
        PeerAddress peer,
        PlacementRequest placementRequest,
        Duration timeout,
        Consumer<Optional<Placement>> callback) {
      Optional<Node> target = find(peer);
      if (target.isEmpty()) {
        network.schedule(timeout, () -> callback.accept(Optional.empty()));
        return;
      }
      network.schedule(
          NETWORK_DELAY,
          () ->
              target
                  .get()
                  .endpoint
                  .place(
                      placementRequest,
                      reply -> network.schedule(NETWORK_DELAY, () -> callback.accept(reply))));
    }

    @Override
    public void probe(PeerAddress peer, Duration timeout, Consumer<Boolean> callback) {
      callback.accept(find(peer).isPresent());
    }

    @Override
    public void report(PeerAddress peer, ImmutableList<WorkReport> reports) {
      network.schedule(
          NETWORK_DELAY, () -> find(peer).ifPresent(target -> target.endpoint.report(reports)));
    }

    private Optional<Node> find(PeerAddress address) {
      return nodes.stream().filter(node -> node.member.address().equals(address)).findFirst();
    }
  }
}
