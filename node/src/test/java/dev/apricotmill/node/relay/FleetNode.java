package dev.apricotmill.node.relay;

import com.google.common.collect.EnumMultiset;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Multiset;
import dev.apricotmill.coordination.follow.FollowObserver;
import dev.apricotmill.coordination.follow.ReadTimestamp;
import dev.apricotmill.coordination.follow.SharedFollower;
import dev.apricotmill.coordination.identity.DaemonId;
import dev.apricotmill.coordination.identity.Incarnation;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.coordination.membership.Member;
import dev.apricotmill.coordination.membership.MemberState;
import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.coordination.platform.Platform;
import dev.apricotmill.coordination.testing.FakePlatform;
import dev.apricotmill.coordination.testing.VirtualScheduler;
import dev.apricotmill.coordination.testing.VirtualTime;
import dev.apricotmill.coordination.time.Timing;
import dev.apricotmill.core.pool.Placement;
import dev.apricotmill.core.pool.PlacementRequest;
import dev.apricotmill.core.pool.WorkReport;
import dev.apricotmill.core.relay.BackendServer;
import dev.apricotmill.core.relay.ColdStart;
import dev.apricotmill.core.relay.ColdTolerance;
import dev.apricotmill.core.relay.ServerNotice;
import dev.apricotmill.core.request.ReplicaId;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.time.Duration;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.stream.Stream;

/** One node and what other nodes reach of it. */
final class FleetNode implements DispatcherClient {

  private static final Duration NETWORK_DELAY = Duration.ofMillis(1);
  private static final int RETRIES_PER_THOUSAND_REQUESTS = 200;
  private static final int RETRY_RESERVE = 100;
  private static final RelaySettings SETTINGS =
      new RelaySettings(
          Duration.ofHours(1),
          RelayFixture.CONFIGURATION_BOUND,
          Duration.ofSeconds(10),
          RETRIES_PER_THOUSAND_REQUESTS,
          RETRY_RESERVE,
          16 << 20);

  private final Timing network;
  private final EngineFleet engines;
  private final Peers peers;
  private final VirtualScheduler scheduler;
  private final Timing timing;
  private final Member member;
  private final LocalPlacer localPlacer;
  private final BlockedParts blockedParts;
  private final DispatcherPlacer placer;
  private final EngineConnections connections;
  private final PlacementEndpoint endpoint;
  private final LeavingServers leavingServers;
  private final BackendLimits backendLimits;
  private final RelayNode relay;
  private final ServingState state;
  private boolean killed;
  private final Multiset<Disturbance> disturbances = EnumMultiset.create(Disturbance.class);

  /** Finds the nodes of a fleet. */
  @FunctionalInterface
  interface Peers {
    /** Returns the node at an address, unless it has ended. */
    Optional<FleetNode> find(PeerAddress address);
  }

  /** What may befall a node for a while. */
  enum Disturbance {
    FROZEN {
      @Override
      void begin(FleetNode node) {
        node.scheduler.pause();
      }

      @Override
      void end(FleetNode node) {
        node.connections.deliverAll();
        node.scheduler.resume();
      }
    },
    WITHOUT_LIST {
      @Override
      void begin(FleetNode node) {}

      @Override
      void end(FleetNode node) {
        node.applyServers();
      }
    },
    WITHOUT_PEERS {
      @Override
      void begin(FleetNode node) {}

      @Override
      void end(FleetNode node) {}
    };

    abstract void begin(FleetNode node);

    abstract void end(FleetNode node);
  }

  /** Creates a node that knows no other nodes. */
  FleetNode(
      int number,
      VirtualTime time,
      FakePlatform store,
      EngineFleet engines,
      Peers peers,
      Optional<ColdStart> coldStart,
      Optional<ColdTolerance> tolerance) {
    network = time.newTiming();
    scheduler = time.newScheduler();
    timing = time.timingOf(scheduler);
    EventLog log = (event, fields) -> {};
    backendLimits = new BackendLimits(timing, log);
    backendLimits.ramps().setTolerance(tolerance);
    localPlacer = new LocalPlacer(timing, backendLimits);
    this.engines = engines;
    this.peers = peers;
    connections = new EngineConnections(engines, number, scheduler::isPaused, this::onNotice);
    member =
        new Member(
            new Incarnation(new DaemonId("n" + number), 1),
            new Zone("a"),
            new PeerAddress("10.0.1.1", 1000 + number),
            MemberState.ALIVE);
    blockedParts = new BlockedParts(timing, log);
    leavingServers = new LeavingServers(timing, log);
    CrashWatch crashWatch = new CrashWatch(timing, localPlacer, blockedParts);
    placer =
        new DispatcherPlacer(
            timing,
            localPlacer,
            this,
            member,
            new SharedKnowledge(blockedParts, leavingServers, backendLimits),
            crashWatch,
            log);
    endpoint =
        new PlacementEndpoint(
            timing,
            localPlacer,
            new SharedKnowledge(blockedParts, leavingServers, backendLimits),
            crashWatch,
            () -> false);
    followBlockedParts(store.clientFor("n" + number, new Zone("a"), scheduler));
    relay =
        new RelayNode(
            timing,
            new SplittableRandom(1),
            SETTINGS,
            connections,
            placer,
            blockedParts,
            backendLimits,
            log,
            new SimpleMeterRegistry());
    relay.update(
        view ->
            view.withConfiguration(
                ColdConfiguration.of(coldStart),
                Optional.of(new ReadTimestamp(timing.nanoTime(), timing.clock().millis()))));
    state = new ServingState(relay, leavingServers, log, localPlacer::update);
    readServers(engines.entries(), coldEntries());
  }

  private void followBlockedParts(Platform storeClient) {
    SharedFollower follower =
        new SharedFollower(
            storeClient,
            timing,
            new SplittableRandom(1),
            member,
            (peer, request, limits, callback) -> {},
            FollowObserver.NONE);
    follower.follow(
        BlockedPartDirectory.KIND,
        BlockedPartDirectory.FOLLOW_SETTINGS,
        new BlockedPartDirectory(storeClient, timing, blockedParts));
    follower.start();
  }

  void kill() {
    scheduler.pause();
    connections.close();
    killed = true;
  }

  /** Returns the number that its connections have. */
  int number() {
    return connections.node();
  }

  Member member() {
    return member;
  }

  BlockedParts blockedParts() {
    return blockedParts;
  }

  void accept(RelayRequest request, CallerConnection caller) {
    relay.accept(request, caller);
  }

  void applyMembers(ImmutableList<Member> members) {
    timing
        .scheduler()
        .execute(
            () -> {
              placer.updateMembers(members);
              relay.update(view -> view.withNodeCount(members.size()));
            });
  }

  /** Disturbances of one kind may overlap. */
  void disturb(Disturbance disturbance, Duration duration) {
    disturbances.add(disturbance);
    disturbance.begin(this);
    network.schedule(
        duration,
        () -> {
          disturbances.remove(disturbance);
          if (!killed && !disturbances.contains(disturbance)) {
            disturbance.end(this);
          }
        });
  }

  void applyServers() {
    if (!disturbances.contains(Disturbance.WITHOUT_LIST)) {
      readServers();
    }
  }

  void applyServersIfAlive() {
    if (!killed) {
      applyServers();
    }
  }

  private void readServers() {
    ImmutableMap<ReplicaId, BackendServer> entries = engines.entries();
    ImmutableList<FleetServer.ColdEntry> coldEntries = coldEntries();
    timing.scheduler().execute(() -> readServers(entries, coldEntries));
  }

  private void readServers(
      ImmutableMap<ReplicaId, BackendServer> entries,
      ImmutableList<FleetServer.ColdEntry> coldEntries) {
    coldEntries.forEach(this::readColdEntry);
    state.serversRead(entries);
  }

  private ImmutableList<FleetServer.ColdEntry> coldEntries() {
    return Stream.of(RelayFixture.POOL, RelayFixture.DESK)
        .flatMap(service -> engines.serversOf(service).stream())
        .flatMap(server -> server.coldEntry(Duration.ofNanos(network.nanoTime())).stream())
        .collect(ImmutableList.toImmutableList());
  }

  private void readColdEntry(FleetServer.ColdEntry entry) {
    backendLimits
        .ramps()
        .onEntry(
            entry.server().id(), entry.server().startedMillis(), entry.version(), entry.left());
    engines.record().colds().read(number(), entry.server(), Duration.ofNanos(timing.nanoTime()));
  }

  private void onNotice(BackendServer server, ServerNotice notice) {
    leavingServers.onNotice(server, notice);
    relay.onNotice(server, notice);
  }

  private boolean responds() {
    return !disturbances.contains(Disturbance.FROZEN) && !isCutOff();
  }

  private boolean isCutOff() {
    return disturbances.contains(Disturbance.WITHOUT_PEERS);
  }

  @Override
  public void requestPlacement(
      PeerAddress peer,
      PlacementRequest placementRequest,
      Duration timeout,
      Consumer<Optional<Placement>> callback) {
    FirstResult<Optional<Placement>> result = new FirstResult<>(callback);
    network.schedule(timeout, () -> result.accept(Optional.empty()));
    network.schedule(
        NETWORK_DELAY,
        () ->
            reachable(peer)
                .ifPresent(
                    target ->
                        target.endpoint.place(
                            placementRequest,
                            reply ->
                                network.schedule(
                                    NETWORK_DELAY,
                                    () -> {
                                      if (!target.isCutOff() && !isCutOff()) {
                                        result.accept(reply);
                                      }
                                    }))));
  }

  @Override
  public void probe(PeerAddress peer, Duration timeout, Consumer<Boolean> callback) {
    if (find(peer).isEmpty()) {
      callback.accept(false);
    } else if (reachable(peer).filter(FleetNode::responds).isPresent()) {
      callback.accept(true);
    } else {
      network.schedule(timeout, () -> callback.accept(false));
    }
  }

  @Override
  public void report(PeerAddress peer, ImmutableList<WorkReport> reports) {
    network.schedule(
        NETWORK_DELAY, () -> reachable(peer).ifPresent(target -> target.endpoint.report(reports)));
  }

  /** Returns the node at an address unless a cut lies between it and this one. */
  private Optional<FleetNode> reachable(PeerAddress address) {
    return find(address).filter(target -> !target.isCutOff() && !isCutOff());
  }

  private Optional<FleetNode> find(PeerAddress address) {
    return peers.find(address);
  }

  /** Passes the first of several results on. */
  private static final class FirstResult<T> {
    private final Consumer<T> callback;
    private boolean done;

    FirstResult(Consumer<T> callback) {
      this.callback = callback;
    }

    void accept(T result) {
      if (!done) {
        done = true;
        callback.accept(result);
      }
    }
  }
}
