package dev.apricotmill.node.relay;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import dev.apricotmill.coordination.follow.ReadTimestamp;
import dev.apricotmill.coordination.testing.VirtualTime;
import dev.apricotmill.coordination.time.Timing;
import dev.apricotmill.core.pool.Placement;
import dev.apricotmill.core.pool.PlacementRequest;
import dev.apricotmill.core.prompt.PromptParts;
import dev.apricotmill.core.relay.BackendServer;
import dev.apricotmill.core.relay.GenerationSize;
import dev.apricotmill.core.relay.ServerNotice;
import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.core.request.RequestId;
import dev.apricotmill.core.request.ServiceName;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Tests pauses that begin while a dispatcher or a helper handles a request. */
final class ServerPausePlacementTest {

  private static final Duration PAUSE = Duration.ofSeconds(2);
  private static final long NOTHING_RESERVED = 0;
  private static final long RESERVED_TOKENS = 1_000;
  private static final ImmutableMap<ReplicaId, BackendServer> SERVERS =
      ScriptedServers.ofServices(3, RelayFixture.POOL);

  private final VirtualTime time = new VirtualTime();
  private final Timing timing = time.newTiming();
  private final SlowPlacer placer = new SlowPlacer();
  private final SlowBackends backends = new SlowBackends();
  private final RelayNode node =
      new RelayNode(
          timing,
          new SplittableRandom(1),
          new RelaySettings(
              Duration.ofSeconds(5), Duration.ofSeconds(2), Duration.ofSeconds(10), 0, 2, 16 << 20),
          backends,
          placer,
          new BlockedParts(timing, EventLog.NONE),
          new BackendLimits(timing, EventLog.NONE),
          EventLog.NONE,
          new SimpleMeterRegistry());

  ServerPausePlacementTest() {
    node.update(
        view ->
            view.withConfiguration(
                    RelayFixture.configuration(1),
                    Optional.of(new ReadTimestamp(timing.nanoTime(), timing.clock().millis())))
                .withServers(SERVERS));
    node.accept(
        new RelayRequest(
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
            OptionalLong.empty()),
        new RelayFixture.RecordedCaller());
    time.runDue();
  }

  @Test
  void aGrantOfAServerThatWasPausedMeanwhileIsNotUsed() {
    pause("pool0");

    placer.grant(NOTHING_RESERVED, "pool0");

    assertThat(backends.sent).isEmpty();
    assertThat(placer.next().excludedServers()).containsExactly(new ReplicaId("pool0"));
    placer.grant(NOTHING_RESERVED, "pool1");
    assertThat(backends.sentTo()).containsExactly("pool1");
  }

  @Test
  void aGrantOfAHelperThatWasPausedMeanwhileIsNotUsed() {
    pause("pool1");

    placer.grant(RESERVED_TOKENS, "pool0", "pool1");

    assertThat(backends.reserved).isEmpty();
    assertThat(placer.next().excludedServers()).containsExactly(new ReplicaId("pool1"));
  }

  @Test
  void aHelperThatWasPausedMeanwhileAndIsNotNeededIsLeftOut() {
    pause("pool1");

    placer.grant(NOTHING_RESERVED, "pool0", "pool1", "pool2");

    assertThat(backends.sentTo()).containsExactly("pool0");
    assertThat(backends.sent.get(0).helpers()).hasSize(1);
  }

  @Test
  void aServerThatIsPausedWhileItsHelpersReserveMemoryGetsNoRequest() {
    placer.grant(RESERVED_TOKENS, "pool0", "pool1");
    pause("pool0");

    backends.confirmReservations();

    assertThat(backends.sent).isEmpty();
    assertThat(backends.released).containsExactly("pool1");
    assertThat(placer.next().excludedServers()).containsExactly(new ReplicaId("pool0"));
  }

  @Test
  void aHelperThatIsPausedWhileAnotherReservesMemoryGetsNoRequest() {
    placer.grant(RESERVED_TOKENS, "pool0", "pool1", "pool2");
    pause("pool2");

    backends.confirmReservations();

    assertThat(backends.sent).isEmpty();
    assertThat(backends.released).containsExactly("pool1", "pool2");
  }

  @Test
  void aServerIsPlacedAgainAfterItsPause() {
    pause("pool0");
    time.advance(PAUSE);

    placer.grant(NOTHING_RESERVED, "pool0");

    assertThat(backends.sentTo()).containsExactly("pool0");
  }

  private void pause(String server) {
    node.onNotice(
        Objects.requireNonNull(SERVERS.get(new ReplicaId(server))),
        new ServerNotice(false, Optional.of(PAUSE)));
    time.runDue();
  }

  /** A dispatcher that responds when the test tells it to. */
  private final class SlowPlacer implements RequestPlacer {

    private final Deque<PlacementRequest> requests = new ArrayDeque<>();
    private final Deque<Consumer<Placement>> callbacks = new ArrayDeque<>();

    @Override
    public void place(PlacementRequest placementRequest, Consumer<Placement> callback) {
      requests.add(placementRequest);
      callbacks.add(callback);
    }

    PlacementRequest next() {
      return requests.element();
    }

    void grant(long reservedTokens, String server, String... helpers) {
      requests.remove();
      callbacks
          .remove()
          .accept(
              new Placement.Granted(
                  new ReplicaId(server),
                  Stream.of(helpers).map(ReplicaId::new).collect(ImmutableList.toImmutableList()),
                  Duration.ofMillis(100),
                  reservedTokens));
      time.runDue();
    }

    @Override
    public void firstEvent(ServiceName service, RequestId request) {}

    @Override
    public void ended(ServiceName service, RequestId request, boolean completed) {}

    @Override
    public void failed(ServiceName service, ReplicaId server, boolean unreachable) {}

    @Override
    public void brokenOff(ServiceName service, ReplicaId server, PromptParts promptParts) {}
  }

  /** Servers that respond to reservations when the test tells them to. */
  private final class SlowBackends implements BackendClient {

    private final List<BackendRequest> sent = new ArrayList<>();
    private final List<String> reserved = new ArrayList<>();
    private final List<String> released = new ArrayList<>();
    private final List<Consumer<ReserveResult>> reservations = new ArrayList<>();

    @Override
    public Exchange send(BackendRequest request, ResponseListener listener) {
      sent.add(request);
      return new IgnoredExchange();
    }

    List<String> sentTo() {
      return sent.stream().map(request -> request.server().id().value()).toList();
    }

    void confirmReservations() {
      reservations.forEach(callback -> callback.accept(ReserveResult.RESERVED));
      time.runDue();
    }

    @Override
    public void reserve(
        BackendServer server,
        String reservation,
        long tokens,
        Duration duration,
        Consumer<ReserveResult> callback) {
      reserved.add(server.id().value());
      reservations.add(callback);
    }

    @Override
    public void release(BackendServer server, String reservation) {
      released.add(server.id().value());
    }
  }

  /** A request that gets no response. */
  private record IgnoredExchange() implements BackendClient.Exchange {

    @Override
    public void cancel() {}

    @Override
    public void pauseReading() {}

    @Override
    public void resumeReading() {}
  }
}
