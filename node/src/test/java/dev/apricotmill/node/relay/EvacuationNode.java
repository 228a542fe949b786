package dev.apricotmill.node.relay;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import dev.apricotmill.coordination.follow.FollowObserver;
import dev.apricotmill.coordination.follow.FollowRequest;
import dev.apricotmill.coordination.follow.PollResult;
import dev.apricotmill.coordination.follow.ReadTimestamp;
import dev.apricotmill.coordination.follow.SharedFollower;
import dev.apricotmill.coordination.identity.DaemonId;
import dev.apricotmill.coordination.identity.Incarnation;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.coordination.membership.Member;
import dev.apricotmill.coordination.membership.MemberState;
import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.coordination.testing.VirtualScheduler;
import dev.apricotmill.coordination.time.ResponseLimits;
import dev.apricotmill.coordination.time.Timing;
import dev.apricotmill.core.pool.Placement;
import dev.apricotmill.core.pool.PlacementRequest;
import dev.apricotmill.core.pool.WorkReport;
import dev.apricotmill.core.prompt.PromptParts;
import dev.apricotmill.core.relay.GenerationSize;
import dev.apricotmill.core.request.RequestId;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/** One node of an {@link EvacuationFleet}, wired as the node of the users' platform is. */
final class EvacuationNode implements DispatcherClient {

  private static final PollResult NO_RESPONSE = new PollResult(Optional.empty(), 0);
  private static final RelaySettings SETTINGS =
      new RelaySettings(
          Duration.ofHours(1),
          RelayFixture.CONFIGURATION_BOUND,
          Duration.ofSeconds(10),
          200,
          1_000,
          16 << 20);

  private final EvacuationFleet fleet;
  private final Member member;
  private final VirtualScheduler scheduler;
  private final Timing timing;
  private final EvacuationWitness witness;
  private final DispatcherPlacer placer;
  private final PlacementEndpoint endpoint;
  private final SharedFollower follower;
  private final RelayNode relay;
  private boolean killed;
  private int requests;

  EvacuationNode(EvacuationFleet fleet, String name, Zone zone, long incarnation) {
    this.fleet = fleet;
    scheduler = fleet.time().newScheduler();
    timing = fleet.time().timingOf(scheduler);
    member =
        new Member(
            new Incarnation(new DaemonId(name), incarnation),
            zone,
            new PeerAddress("10.1.0.1", 1_000 + fleet.nextPort()),
            MemberState.ALIVE);
    SharedKnowledge knowledge = SharedKnowledge.none(timing, EventLog.NONE);
    LocalPlacer localPlacer = new LocalPlacer(timing, knowledge.limits());
    CrashWatch crashWatch = new CrashWatch(timing, localPlacer, knowledge.blockedParts());
    placer =
        new DispatcherPlacer(
            timing, localPlacer, this, member, knowledge, crashWatch, EventLog.NONE);
    endpoint = new PlacementEndpoint(timing, localPlacer, knowledge, crashWatch, () -> false);
    relay =
        new RelayNode(
            timing,
            new SplittableRandom(1),
            SETTINGS,
            new EvacuationBackends(fleet, this),
            placer,
            knowledge.blockedParts(),
            knowledge.limits(),
            EventLog.NONE,
            new SimpleMeterRegistry());
    EvacuatedZones zones = EvacuatedZones.followed(timing, EventLog.NONE);
    witness =
        new EvacuationWitness(
            new EvacuationDirectory(EvacuationFleet.KIND, EventLog.NONE, zones), timing);
    ServingState state =
        new ServingState(
            relay, knowledge.leavingServers(), zones, EventLog.NONE, localPlacer::update);
    state.configurationRead(ServingFixture.configuration());
    state.configurationValidated(new ReadTimestamp(timing.nanoTime(), timing.clock().millis()));
    state.serversRead(fleet.servers());
    follower =
        new SharedFollower(
            fleet.store().clientFor(name, zone, scheduler),
            timing,
            new SplittableRandom(incarnation),
            member,
            this::poll,
            FollowObserver.NONE);
    follower.follow(
        EvacuationFleet.KIND, EvacuationDirectory.followSettings(EvacuationFleet.BOUND), witness);
    follower.start();
  }

  Member member() {
    return member;
  }

  String name() {
    return member.incarnation().daemon().name();
  }

  Timing timing() {
    return timing;
  }

  VirtualScheduler scheduler() {
    return scheduler;
  }

  EvacuationWitness witness() {
    return witness;
  }

  boolean isReady() {
    return relay.isReady();
  }

  boolean isKilled() {
    return killed;
  }

  void kill() {
    killed = true;
    follower.close();
    scheduler.shutdown();
  }

  void updateMembers(ImmutableList<Member> members) {
    timing
        .scheduler()
        .execute(
            () -> {
              placer.updateMembers(members);
              follower.updateMembers(members);
              relay.update(view -> view.withNodeCount(members.size()));
            });
  }

  RelayFixture.RecordedCaller accept(String path, long promptTokens) {
    RelayFixture.RecordedCaller caller = new RelayFixture.RecordedCaller();
    relay.accept(
        new RelayRequest(
            new RequestId(member.incarnation() + "-" + requests++),
            "host",
            "POST",
            path,
            ImmutableMap.of(),
            new byte[0],
            Optional.of("key"),
            Optional.of(Duration.ofSeconds(5)),
            Optional.of(new GenerationSize(promptTokens, 100)),
            PromptParts.NONE,
            OptionalLong.empty()),
        caller);
    return caller;
  }

  private void poll(
      Member peer, FollowRequest request, ResponseLimits limits, Consumer<PollResult> callback) {
    FirstResult<PollResult> result = new FirstResult<>(callback);
    timing.schedule(limits.begin(), () -> result.accept(NO_RESPONSE));
    fleet.deliver(
        this,
        peer.address(),
        target ->
            target.follower.onPoll(
                request,
                response ->
                    fleet.deliver(
                        target,
                        member.address(),
                        self -> result.accept(new PollResult(Optional.of(response), 0)))));
  }

  @Override
  public void requestPlacement(
      PeerAddress peer,
      PlacementRequest placementRequest,
      Duration timeout,
      Consumer<Optional<Placement>> callback) {
    FirstResult<Optional<Placement>> result = new FirstResult<>(callback);
    timing.schedule(timeout, () -> result.accept(Optional.empty()));
    fleet.deliver(
        this,
        peer,
        target ->
            target.endpoint.place(
                placementRequest,
                reply -> fleet.deliver(target, member.address(), self -> result.accept(reply))));
  }

  @Override
  public void probe(PeerAddress peer, Duration timeout, Consumer<Boolean> callback) {
    FirstResult<Boolean> result = new FirstResult<>(callback);
    timing.schedule(timeout, () -> result.accept(false));
    fleet.deliver(
        this, peer, target -> fleet.deliver(target, member.address(), self -> result.accept(true)));
  }

  @Override
  public void report(PeerAddress peer, ImmutableList<WorkReport> reports) {
    fleet.deliver(this, peer, target -> target.endpoint.report(reports));
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
