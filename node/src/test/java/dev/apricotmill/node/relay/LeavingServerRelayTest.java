package dev.apricotmill.node.relay;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import dev.apricotmill.core.pool.Placement;
import dev.apricotmill.core.pool.PlacementRequest;
import dev.apricotmill.core.pool.WorkReport;
import dev.apricotmill.core.prompt.PromptParts;
import dev.apricotmill.core.relay.BackendServer;
import dev.apricotmill.core.relay.GenerationSize;
import dev.apricotmill.core.relay.RelayRefusal;
import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.core.request.RequestId;
import dev.apricotmill.node.relay.RelayFixture.RecordedCaller;
import dev.apricotmill.node.relay.ServingFixture.Sent;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

final class LeavingServerRelayTest {

  private static final long SHORT = 1_000;
  private static final long PREFILLED_IN_PARTS = 400_000;
  private static final long LARGER_THAN_AN_ENGINE = 600_000;

  private final ServingFixture serving = new ServingFixture();
  private final BackendServer pool0 = ServingFixture.server(RelayFixture.POOL, 0, 1);
  private final BackendServer pool1 = ServingFixture.server(RelayFixture.POOL, 1, 1);
  private final BackendServer pool2 = ServingFixture.server(RelayFixture.POOL, 2, 1);
  private final BackendServer desk0 = ServingFixture.server(RelayFixture.DESK, 0, 1);
  private final BackendServer desk1 = ServingFixture.server(RelayFixture.DESK, 1, 1);

  LeavingServerRelayTest() {
    serving.list(pool0, pool1, pool2, desk0, desk1);
  }

  @Test
  void aNodeThatIsCutOffSendsNothingNewToALeavingServer() {
    serving.leave(pool0);
    serving.leave(desk0);

    for (int i = 0; i < 6; i++) {
      serving.time().advance(Duration.ofSeconds(2));
      serving.accept("/once/1", SHORT);
      serving.accept("/order/1", SHORT);
    }

    assertThat(serving.servers()).hasSize(12);
    assertThat(serving.servers()).containsNoneOf(pool0.id(), desk0.id());
  }

  @Test
  void aLaterListThatNamesTheServerAsReadyChangesNothing() {
    serving.leave(pool0);
    serving.leave(desk0);

    for (int i = 0; i < 6; i++) {
      serving.time().advance(Duration.ofSeconds(2));
      serving.list(pool0, pool1, pool2, desk0, desk1);
      serving.accept("/once/1", SHORT);
      serving.accept("/order/1", SHORT);
    }

    assertThat(serving.servers()).hasSize(12);
    assertThat(serving.servers()).containsNoneOf(pool0.id(), desk0.id());
  }

  @Test
  void aServerThatStartedAgainUnderItsIdentifierIsUsedAgain() {
    serving.list(desk0);
    serving.leave(desk0);
    serving.accept("/order/1", SHORT);
    assertThat(serving.servers()).isEmpty();

    long laterMillis = serving.time().clock().millis() + 1;
    serving.list(ServingFixture.server(RelayFixture.DESK, 0, laterMillis));
    serving.accept("/order/1", SHORT);

    assertThat(serving.servers()).containsExactly(desk0.id());
  }

  @Test
  void aRequestWhoseOnlyServerIsLeavingIsRefusedAtOnceAsNotRun() {
    serving.list(pool0, desk0);
    serving.leave(pool0);
    serving.leave(desk0);

    RecordedCaller order = serving.accept("/order/1", SHORT);
    RecordedCaller stream = serving.accept("/stream/1", SHORT);
    RecordedCaller longStream = serving.accept("/stream/1", LARGER_THAN_AN_ENGINE);

    assertThat(order.refusal()).isEqualTo(RelayRefusal.NO_SERVER);
    assertThat(stream.refusal()).isEqualTo(RelayRefusal.OVERLOADED);
    assertThat(longStream.refusal()).isEqualTo(RelayRefusal.OVERLOADED);
    assertThat(RelayRefusal.NO_SERVER.guaranteesNotRun()).isTrue();
    assertThat(RelayRefusal.OVERLOADED.guaranteesNotRun()).isTrue();
    assertThat(serving.servers()).isEmpty();
  }

  @Test
  void openResponsesOfALeavingServerGoOn() {
    serving.list(pool0);
    RecordedCaller caller = serving.accept("/stream/1", SHORT);
    Sent attempt = serving.sent().get(0);
    serving.leave(pool0);

    serving.respond(attempt, "id: 1\n\n");
    serving.end(attempt);

    assertThat(caller.ended()).isTrue();
    assertThat(caller.body()).isEqualTo("id: 1\n\n");
    assertThat(serving.servers()).hasSize(1);
  }

  @Test
  void aRequestIsSentElsewhereIfItsServerLeavesWhileItIsPlaced() {
    String granted = grantedTo(SHORT).server().value();
    serving.hold();
    RecordedCaller caller = serving.accept("/stream/1", SHORT);

    serving.leave(engine(granted));
    serving.releaseHeld();

    assertThat(serving.servers()).hasSize(1);
    assertThat(serving.servers()).doesNotContain(new ReplicaId(granted));
    assertThat(caller.refusal()).isNull();
  }

  @Test
  void aHelperThatLeavesWhileTheRequestIsPlacedIsNotUsed() {
    ReplicaId helper = grantedTo(PREFILLED_IN_PARTS).helpers().get(0);
    serving.hold();
    serving.accept("/stream/1", PREFILLED_IN_PARTS);

    serving.leave(engine(helper.value()));
    serving.releaseHeld();

    assertThat(serving.servers()).hasSize(1);
    assertThat(engines(serving.sent().get(0))).doesNotContain(helper);
  }

  @Test
  void nothingIsReservedAtAHelperThatLeavesWhileTheRequestIsPlaced() {
    ReplicaId helper = grantedTo(LARGER_THAN_AN_ENGINE).helpers().get(0);
    serving.hold();
    serving.accept("/stream/1", LARGER_THAN_AN_ENGINE);

    serving.leave(engine(helper.value()));
    serving.releaseHeld();

    assertThat(serving.reserved()).doesNotContain(helper);
    assertThat(serving.servers()).hasSize(1);
    assertThat(engines(serving.sent().get(0))).doesNotContain(helper);
  }

  /** The dispatcher may not have heard yet that the helper is leaving. */
  @Test
  void aRequestThatIsPlacedAgainExcludesTheHelperThatLeft() {
    ReplicaId helper = grantedTo(LARGER_THAN_AN_ENGINE).helpers().get(0);
    serving.hold();
    serving.accept("/stream/1", LARGER_THAN_AN_ENGINE);

    serving.leave(engine(helper.value()));
    serving.releaseHeld();

    assertThat(serving.placementRequests()).hasSize(2);
    assertThat(serving.placementRequests().get(1).excludedServers()).containsExactly(helper);
  }

  @Test
  void aRequestIsPlacedAgainIfAHelperLeavesWhileItReserves() {
    ReplicaId helper = grantedTo(LARGER_THAN_AN_ENGINE).helpers().get(0);
    serving.hold();
    serving.accept("/stream/1", LARGER_THAN_AN_ENGINE);
    serving.releaseHeldStep();
    assertThat(serving.reserved()).contains(helper);

    serving.leave(engine(helper.value()));
    serving.releaseHeld();

    assertThat(serving.released()).contains(helper);
    assertThat(serving.servers()).hasSize(1);
    assertThat(engines(serving.sent().get(0))).doesNotContain(helper);
  }

  @Test
  void aRequestIsPlacedAgainIfItsServerLeavesWhileItsHelpersReserve() {
    ReplicaId server = grantedTo(LARGER_THAN_AN_ENGINE).server();
    serving.hold();
    serving.accept("/stream/1", LARGER_THAN_AN_ENGINE);
    serving.releaseHeldStep();
    assertThat(serving.reserved()).isNotEmpty();

    serving.leave(engine(server.value()));
    serving.releaseHeld();

    assertThat(serving.servers()).hasSize(1);
    assertThat(engines(serving.sent().get(0))).doesNotContain(server);
  }

  @Test
  void aRequestIsPlacedAgainIfItsServerStartsAgainWhileItsHelpersReserve() {
    ReplicaId server = grantedTo(LARGER_THAN_AN_ENGINE).server();
    serving.hold();
    serving.accept("/stream/1", LARGER_THAN_AN_ENGINE);
    serving.releaseHeldStep();

    serving.list(restarted(pool0, server), restarted(pool1, server), restarted(pool2, server));
    serving.releaseHeld();

    assertThat(serving.servers()).hasSize(1);
    assertThat(serving.servers()).doesNotContain(server);
  }

  @Test
  void aHelperThatRefusesAReservationBecauseItLeavesIsNotAskedAgain() {
    ReplicaId helper = grantedTo(LARGER_THAN_AN_ENGINE).helpers().get(0);
    serving.refuseReservationsAt(engine(helper.value()));
    serving.hold();
    serving.accept("/stream/1", LARGER_THAN_AN_ENGINE);
    serving.releaseHeldStep();

    serving.leave(engine(helper.value()));
    serving.releaseHeld();

    assertThat(serving.reserved().stream().filter(helper::equals).count()).isEqualTo(1);
    assertThat(serving.servers()).hasSize(1);
  }

  @Test
  void aDispatcherPlacesNothingOnAServerThatAnotherNodeReportedAsLeaving() {
    report(pool0);

    for (int i = 0; i < 4; i++) {
      Placement.Granted granted = placeForOther("p" + i, SHORT);
      assertThat(granted.server()).isNotEqualTo(pool0.id());
      assertThat(granted.helpers()).doesNotContain(pool0.id());
    }
    assertThat(placeForOther("long", PREFILLED_IN_PARTS).helpers()).doesNotContain(pool0.id());
  }

  @Test
  void aDispatcherGoesOnUsingAServerWhoseEarlierInstanceWasLeaving() {
    serving.list(ServingFixture.server(RelayFixture.POOL, 0, 2));

    report(pool0);

    assertThat(placeForOther("p", SHORT).server()).isEqualTo(pool0.id());
  }

  @Test
  void aServerThatSeveralNodesReportIsCountedOnce() {
    report(pool0);
    report(pool0);
    serving.leave(pool0);

    assertThat(serving.counter("apricotmill.relay.servers_leaving")).isEqualTo(1);
  }

  private void report(BackendServer server) {
    serving
        .endpoint()
        .report(
            List.of(new WorkReport.Leaving(server.service(), server.id(), server.startedMillis())));
    serving.time().runDue();
  }

  /** Returns where a prompt would be placed now; the placement is ended at once. */
  private Placement.Granted grantedTo(long promptTokens) {
    Placement.Granted granted = placeForOther("probe", promptTokens);
    serving
        .endpoint()
        .report(List.of(new WorkReport.Ended(RelayFixture.POOL, new RequestId("probe"), false)));
    serving.time().runDue();
    return granted;
  }

  private Placement.Granted placeForOther(String request, long promptTokens) {
    List<Optional<Placement>> replies = new ArrayList<>();
    serving
        .endpoint()
        .place(
            new PlacementRequest(
                new RequestId(request),
                RelayFixture.POOL,
                new GenerationSize(promptTokens, 100),
                PromptParts.NONE,
                Duration.ofMillis(300),
                Duration.ofMillis(200),
                Duration.ofSeconds(5),
                ImmutableSet.of()),
            replies::add);
    serving.time().runDue();
    return (Placement.Granted) replies.get(0).orElseThrow();
  }

  private BackendServer engine(String id) {
    return List.of(pool0, pool1, pool2).stream()
        .filter(server -> server.id().value().equals(id))
        .findFirst()
        .orElseThrow();
  }

  private static BackendServer restarted(BackendServer server, ReplicaId id) {
    return server.id().equals(id)
        ? new BackendServer(
            id, server.service(), server.address(), server.zone(), server.slots(), true, 2)
        : server;
  }

  /** Returns the engines that serve a request: the one that it was sent to, and the helpers. */
  private ImmutableList<ReplicaId> engines(Sent attempt) {
    ImmutableList.Builder<ReplicaId> engines = ImmutableList.builder();
    engines.add(attempt.server());
    for (BackendClient.Helper helper : attempt.request().helpers()) {
      List.of(pool0, pool1, pool2).stream()
          .filter(server -> server.address().equals(helper.address()))
          .forEach(server -> engines.add(server.id()));
    }
    return engines.build();
  }
}
