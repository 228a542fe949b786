package dev.apricotmill.node.relay;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import dev.apricotmill.coordination.follow.ReadTimestamp;
import dev.apricotmill.coordination.identity.DaemonId;
import dev.apricotmill.coordination.identity.Incarnation;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.coordination.membership.Member;
import dev.apricotmill.coordination.membership.MemberState;
import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.coordination.membership.RendezvousHash;
import dev.apricotmill.coordination.testing.VirtualTime;
import dev.apricotmill.coordination.time.Timing;
import dev.apricotmill.core.pool.Placement;
import dev.apricotmill.core.pool.PlacementRequest;
import dev.apricotmill.core.pool.PoolScheduler;
import dev.apricotmill.core.pool.WorkReport;
import dev.apricotmill.core.prompt.PromptParts;
import dev.apricotmill.core.relay.BackendServer;
import dev.apricotmill.core.relay.GenerationSize;
import dev.apricotmill.core.request.RequestId;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a dispatcher that takes the end of a request's first attempt for the end of its
 * second one, and places other requests on memory that the second one uses.
 */
final class PlacementOfSecondAttemptTest {

  private static final Duration NETWORK_DELAY = Duration.ofMillis(1);

  /** Longer than any report is held back. */
  private static final Duration REPORTS_ARRIVED = Duration.ofMillis(100);

  private final VirtualTime time = new VirtualTime();
  private final Timing timing = time.newTiming();
  private final ImmutableList<Member> members = membersByRank();
  private final BackendLimits dispatcherLimits = new BackendLimits(timing, EventLog.NONE);
  private final LocalPlacer dispatcher = new LocalPlacer(timing, dispatcherLimits);
  private final PlacementEndpoint endpoint = newEndpoint();
  private final List<BackendClient.ResponseListener> sent = new ArrayList<>();
  private final RelayNode relay = newRelay();

  @BeforeEach
  void start() {
    ServingView view =
        relay.update(
            empty ->
                empty
                    .withConfiguration(
                        RelayFixture.configuration(1),
                        Optional.of(new ReadTimestamp(timing.nanoTime(), timing.clock().millis())))
                    .withServers(ScriptedServers.ofServices(3, RelayFixture.POOL)));
    dispatcher.update(view);
  }

  @Test
  void theEndOfTheFirstAttemptDoesNotEndThePlacementOfTheSecond() {
    relay.accept(request(), new RelayFixture.RecordedCaller());
    time.advance(REPORTS_ARRIVED);
    assertThat(sent).hasSize(1);
    assertThat(scheduler().placedCount()).isEqualTo(1);

    sent.get(0).onFailure(true, BackendFailure.CONNECTION_LOST);
    time.advance(REPORTS_ARRIVED);

    assertThat(sent).hasSize(2);
    assertThat(scheduler().placedCount()).isEqualTo(1);
  }

  private PoolScheduler scheduler() {
    return dispatcher.poolScheduler(RelayFixture.POOL).orElseThrow();
  }

  private static RelayRequest request() {
    return new RelayRequest(
        new RequestId("r1"),
        "host",
        "POST",
        "/stream/1",
        ImmutableMap.of(),
        new byte[0],
        Optional.of("key"),
        Optional.of(Duration.ofSeconds(5)),
        Optional.of(new GenerationSize(5_000, 100)),
        PromptParts.NONE,
        OptionalLong.empty());
  }

  private PlacementEndpoint newEndpoint() {
    BlockedParts blockedParts = new BlockedParts(timing, EventLog.NONE);
    return new PlacementEndpoint(
        timing,
        dispatcher,
        new SharedKnowledge(
            blockedParts, new LeavingServers(timing, EventLog.NONE), dispatcherLimits),
        new CrashWatch(timing, dispatcher, blockedParts),
        () -> false);
  }

  private RelayNode newRelay() {
    BackendLimits limits = new BackendLimits(timing, EventLog.NONE);
    LocalPlacer localPlacer = new LocalPlacer(timing, limits);
    BlockedParts blockedParts = new BlockedParts(timing, EventLog.NONE);
    DispatcherPlacer placer =
        new DispatcherPlacer(
            timing,
            localPlacer,
            new DispatcherOverNetwork(),
            members.get(1),
            new SharedKnowledge(blockedParts, new LeavingServers(timing, EventLog.NONE), limits),
            new CrashWatch(timing, localPlacer, blockedParts),
            EventLog.NONE);
    placer.updateMembers(members);
    return new RelayNode(
        timing,
        new SplittableRandom(1),
        new RelaySettings(
            Duration.ofHours(1),
            RelayFixture.CONFIGURATION_BOUND,
            Duration.ofSeconds(10),
            0,
            /* retryReserve= */ 10,
            RelayFixture.MAX_BUFFERED_BYTES),
        new RecordedBackends(),
        placer,
        blockedParts,
        limits,
        EventLog.NONE,
        new SimpleMeterRegistry());
  }

  /** Returns two nodes, of which the first dispatches the pool. */
  private static ImmutableList<Member> membersByRank() {
    return RendezvousHash.ranked(
            ImmutableList.of(member("n0", 1000), member("n1", 1001)), RelayFixture.POOL.value())
        .collect(ImmutableList.toImmutableList());
  }

  private static Member member(String name, int port) {
    return new Member(
        new Incarnation(new DaemonId(name), 1),
        new Zone("a"),
        new PeerAddress("10.0.1.1", port),
        MemberState.ALIVE);
  }

  private final class DispatcherOverNetwork implements DispatcherClient {

    @Override
    public void requestPlacement(
        PeerAddress peer,
        PlacementRequest placementRequest,
        Duration timeout,
        Consumer<Optional<Placement>> callback) {
      timing.schedule(
          NETWORK_DELAY,
          () ->
              endpoint.place(
                  placementRequest,
                  reply -> timing.schedule(NETWORK_DELAY, () -> callback.accept(reply))));
    }

    @Override
    public void probe(PeerAddress peer, Duration timeout, Consumer<Boolean> callback) {
      callback.accept(true);
    }

    @Override
    public void report(PeerAddress peer, ImmutableList<WorkReport> reports) {
      timing.schedule(NETWORK_DELAY, () -> endpoint.report(reports));
    }
  }

  private final class RecordedBackends implements BackendClient {

    @Override
    public Exchange send(BackendRequest request, ResponseListener listener) {
      sent.add(listener);
      return new Exchange() {
        @Override
        public void cancel() {}

        @Override
        public void pauseReading() {}

        @Override
        public void resumeReading() {}
      };
    }

    @Override
    public void reserve(
        BackendServer server,
        String reservation,
        long tokens,
        Duration duration,
        Consumer<ReserveResult> callback) {
      throw new UnsupportedOperationException("the prompt fits on one engine");
    }

    @Override
    public void release(BackendServer server, String reservation) {
      throw new UnsupportedOperationException("the prompt fits on one engine");
    }
  }
}
