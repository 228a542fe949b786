package dev.apricotmill.node.relay;

import static com.google.common.truth.Truth.assertThat;

import dev.apricotmill.core.pool.Placement;
import dev.apricotmill.core.pool.PlacementRequest;
import dev.apricotmill.core.prompt.PromptParts;
import dev.apricotmill.core.relay.RelayRefusal;
import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.core.request.RequestId;
import dev.apricotmill.core.request.ServiceName;
import dev.apricotmill.node.relay.RelayFixture.RecordedCaller;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.time.Duration;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/** Tests what callers get whose requests are open, or arrive, during a planned stop. */
final class RelayStopTest {

  private static final int RETRY_RESERVE = 2;
  private static final Duration POLL_PERIOD = Duration.ofMillis(20);
  private static final Duration GRACE = Duration.ofSeconds(8);
  private static final Duration SHORT_GRACE = Duration.ofSeconds(3);

  private final RelayFixture relay = new RelayFixture(RETRY_RESERVE);

  @Test
  void aRequestThatArrivesAsAnIdleStopEndsIsNotPassedOn() {
    relay.node().beginStop(GRACE);
    runStop();

    RecordedCaller late = relay.accept("/order/1");

    assertThat(relay.sent()).isEmpty();
    assertThat(late.refusal()).isEqualTo(RelayRefusal.STOPPING);
  }

  @Test
  void requestsAreRefusedLongBeforeAShortGraceEnds() {
    relay.node().beginStop(SHORT_GRACE);
    advanceStopFor(Duration.ofSeconds(2));

    RecordedCaller late = relay.accept("/read/1");

    assertThat(relay.sent()).isEmpty();
    assertThat(late.refusal()).isEqualTo(RelayRefusal.STOPPING);
  }

  @Test
  void aRequestIsPassedOnBeforeThePlatformHasRemovedTheNode() {
    relay.node().beginStop(GRACE);
    advanceStopFor(Duration.ofMillis(2_400));

    relay.accept("/order/1");
    relay.accept("/read/1");

    assertThat(relay.sent()).hasSize(2);
  }

  @Test
  void anAtMostOnceRequestThatMayOutlastTheGraceIsRefusedAsNotRun() {
    relay.node().beginStop(SHORT_GRACE);
    advanceStopFor(Duration.ofMillis(500));

    RecordedCaller order = relay.accept("/order/1");
    RecordedCaller stream = relay.accept("/once/1");
    relay.accept("/read/1");

    assertThat(order.refusal()).isEqualTo(RelayRefusal.STOPPING);
    assertThat(stream.refusal()).isEqualTo(RelayRefusal.STOPPING);
    assertThat(relay.sent()).hasSize(1);
    assertThat(relay.last().request().request().path()).isEqualTo("/read/1");
  }

  @Test
  void aRequestThatMayHaveRunIsAnsweredBeforeTheGraceEndsWithoutAPromise() {
    RecordedCaller order = relay.accept("/order/1");
    relay.node().beginStop(Duration.ofSeconds(2));

    runStop();

    assertThat(order.refusal()).isEqualTo(RelayRefusal.BROKEN);
    assertThat(order.finalResponses()).isEqualTo(1);
    assertThat(relay.last().cancelled()).isTrue();
    assertThat(relay.node().openRequests()).isEqualTo(0);
  }

  @Test
  void aRetryThatIsOpenWhenTheGraceEndsIsAnsweredWithoutAPromise() {
    RecordedCaller read = relay.accept("/read/1");
    relay.last().fail(true);
    relay.node().beginStop(Duration.ofSeconds(2));

    runStop();

    assertThat(read.refusal()).isEqualTo(RelayRefusal.BROKEN);
    assertThat(read.finalResponses()).isEqualTo(1);
  }

  @Test
  void aStreamThatHasBegunIsAbortedBeforeTheGraceEnds() {
    RecordedCaller stream = relay.accept("/stream/1");
    relay.last().head(200, false);
    relay.last().body("id: 1\ndata: a\n\n");
    relay.node().beginStop(Duration.ofSeconds(2));

    runStop();

    assertThat(stream.aborted()).isTrue();
    assertThat(stream.ended()).isFalse();
    assertThat(stream.refusal()).isNull();
    assertThat(relay.placedCount()).isEqualTo(0);
  }

  @Test
  void aResponseThatCompletesDuringTheStopIsPassedOn() {
    RecordedCaller order = relay.accept("/order/1");
    relay.node().beginStop(GRACE);
    advanceStopFor(Duration.ofMillis(2_900));

    relay.last().head(200, false);
    relay.last().body("done");
    relay.last().end();
    runStop();

    assertThat(order.status()).isEqualTo(200);
    assertThat(order.body()).isEqualTo("done");
    assertThat(order.finalResponses()).isEqualTo(1);
  }

  @Test
  void aRequestThatStillWaitsForAnEngineIsRefusedAsNotRun() {
    relay.accept("/stream/1").disconnect();
    RelayRequest request = relay.last().request().request();
    RelayNode node = newNode(new NeverPlacing());
    RecordedCaller caller = new RecordedCaller();
    node.accept(request, caller);
    relay.time().runDue();
    node.beginStop(Duration.ofSeconds(2));

    while (node.advanceStop(0) != PlannedStop.Phase.OVER) {
      relay.time().advance(POLL_PERIOD);
    }

    assertThat(relay.sent()).hasSize(1);
    assertThat(caller.refusal()).isEqualTo(RelayRefusal.STOPPING);
    assertThat(caller.finalResponses()).isEqualTo(1);
  }

  private RelayNode newNode(RequestPlacer placer) {
    RelayNode node =
        new RelayNode(
            relay.timing(),
            new SplittableRandom(1),
            relay.node().settings(),
            relay.node().backends(),
            placer,
            new BlockedParts(relay.timing(), EventLog.NONE),
            new BackendLimits(relay.timing(), EventLog.NONE),
            EventLog.NONE,
            new SimpleMeterRegistry());
    node.update(view -> relay.node().view());
    return node;
  }

  /** Keeps every request waiting. */
  private static final class NeverPlacing implements RequestPlacer {

    @Override
    public void place(PlacementRequest placementRequest, Consumer<Placement> callback) {}

    @Override
    public void firstEvent(ServiceName service, RequestId request) {}

    @Override
    public void ended(ServiceName service, RequestId request, boolean completed) {}

    @Override
    public void failed(ServiceName service, ReplicaId server, boolean unreachable) {}

    @Override
    public void brokenOff(ServiceName service, ReplicaId server, PromptParts promptParts) {}
  }

  private void runStop() {
    while (advanceStop() != PlannedStop.Phase.OVER) {
      relay.time().advance(POLL_PERIOD);
    }
  }

  private void advanceStopFor(Duration duration) {
    for (Duration passed = Duration.ZERO;
        passed.compareTo(duration) < 0;
        passed = passed.plus(POLL_PERIOD)) {
      advanceStop();
      relay.time().advance(POLL_PERIOD);
    }
  }

  private PlannedStop.Phase advanceStop() {
    PlannedStop.Phase phase = relay.node().advanceStop(0);
    relay.time().runDue();
    return phase;
  }
}
