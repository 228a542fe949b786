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
import dev.apricotmill.core.request.ServiceName;
import dev.apricotmill.node.relay.RelayFixture.RecordedCaller;
import dev.apricotmill.node.relay.ServingFixture.Sent;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests that reach a server of an evacuated zone: new ones, and those that are
 * between their placement and their sending when the evacuation arrives.
 */
final class EvacuationRelayTest {

  private static final long SHORT = 1_000;
  private static final long LARGER_THAN_AN_ENGINE = 600_000;

  /** After this a stream's server counts as silent, so that a standby attempt is placed. */
  private static final Duration SILENCE = Duration.ofMillis(1_600);

  private final ServingFixture serving = new ServingFixture(/* evacuationsFollowed= */ true);
  private final ImmutableList<BackendServer> servers =
      Stream.of(RelayFixture.POOL, RelayFixture.DESK)
          .flatMap(
              service ->
                  Stream.of(
                      server(service, 0, "a"),
                      server(service, 1, "a"),
                      server(service, 2, "a"),
                      server(service, 3, "b"),
                      server(service, 4, "b"),
                      server(service, 5, "b")))
          .collect(ImmutableList.toImmutableList());

  private static BackendServer server(ServiceName service, int number, String zone) {
    return ServingFixture.server(service, number, zone, 1);
  }

  @Test
  void beforeTheEvacuationsAreReadTheNodeIsNotReadyAndSendsNothing() {
    list();

    RecordedCaller order = serving.accept("/order/1", SHORT);
    RecordedCaller stream = serving.accept("/stream/1", SHORT);

    assertThat(serving.node().isReady()).isFalse();
    assertThat(serving.sent()).isEmpty();
    assertThat(order.refusal()).isEqualTo(RelayRefusal.CONFIGURATION_UNKNOWN);
    assertThat(stream.refusal()).isEqualTo(RelayRefusal.CONFIGURATION_UNKNOWN);
    assertThat(RelayRefusal.CONFIGURATION_UNKNOWN.guaranteesNotRun()).isTrue();
    assertThat(placeForOther(SHORT)).isEmpty();
  }

  @Test
  void onceTheEvacuationsAreReadTheNodeIsReadyAndSends() {
    list();
    serving.evacuate();

    serving.accept("/order/1", SHORT);
    serving.accept("/stream/1", SHORT);

    assertThat(serving.node().isReady()).isTrue();
    assertThat(serving.sent()).hasSize(2);
  }

  @Test
  void evacuationsThatAreReadBeforeTheServersApplyToThem() {
    serving.evacuate("a");
    assertThat(serving.node().isReady()).isFalse();
    list();

    acceptMany();

    assertThat(zonesOfSends()).containsExactly("b");
  }

  @Test
  void noNewRequestReachesAServerOfAnEvacuatedZone() {
    start();
    serving.evacuate("a");

    acceptMany();

    assertThat(zonesOfSends()).containsExactly("b");
    assertThat(serving.gauge("apricotmill.relay.evacuated.zones")).isEqualTo(1);
  }

  @Test
  void aLaterListOfServersDoesNotEndTheEvacuation() {
    start();
    serving.evacuate("a");
    list();

    acceptMany();

    assertThat(zonesOfSends()).containsExactly("b");
  }

  @Test
  void aServerThatLeavesElsewhereDoesNotEndTheEvacuation() {
    start();
    serving.evacuate("a");
    serving.leave(server(RelayFixture.POOL, 3, "b"));

    acceptMany();

    assertThat(zonesOfSends()).containsExactly("b");
    assertThat(serving.servers()).doesNotContain(new ReplicaId("pool3"));
  }

  /** Servers that start again during the evacuation come back with their newest entries. */
  @Test
  void afterTheEvacuationTheServersThatAreListedThenAreUsed() {
    start();
    serving.evacuate("a");
    BackendServer restarted = ServingFixture.server(RelayFixture.DESK, 0, "a", 7);
    serving.list(restarted);
    serving.accept("/order/1", SHORT);
    assertThat(serving.sent()).isEmpty();

    serving.evacuate();
    serving.accept("/order/1", SHORT);

    assertThat(serving.sent().get(0).request().server()).isEqualTo(restarted);
    assertThat(serving.gauge("apricotmill.relay.evacuated.zones")).isEqualTo(0);
  }

  @Test
  void aRequestWhosePlacementWasGrantedIsPlacedOnceMoreOutsideTheZone() {
    start();
    String zone = zoneOf(grantedTo(SHORT).server());
    serving.hold();
    RecordedCaller caller = serving.accept("/stream/1", SHORT);

    serving.evacuate(zone);
    serving.releaseHeld();

    assertThat(zonesOfSends()).containsExactly(other(zone));
    assertThat(caller.refusal()).isNull();
    assertThat(serving.placementRequests()).hasSize(2);
    assertThat(serving.placementRequests().get(1).excludedServers())
        .containsExactlyElementsIn(idsIn(zone, RelayFixture.POOL));
  }

  @Test
  void noMemoryIsReservedInAZoneThatIsEvacuatedDuringThePlacement() {
    start();
    String zone = zoneOf(grantedTo(LARGER_THAN_AN_ENGINE).helpers().get(0));
    serving.hold();
    serving.accept("/stream/1", LARGER_THAN_AN_ENGINE);

    serving.evacuate(zone);
    serving.releaseHeld();

    assertThat(serving.reserved()).containsNoneIn(idsIn(zone, RelayFixture.POOL));
    assertThat(zonesOfSends()).containsExactly(other(zone));
  }

  @Test
  void aRequestIsPlacedAgainIfTheZoneOfAHelperIsEvacuatedWhileItReserves() {
    start();
    ReplicaId helper = grantedTo(LARGER_THAN_AN_ENGINE).helpers().get(0);
    serving.hold();
    serving.accept("/stream/1", LARGER_THAN_AN_ENGINE);
    serving.releaseHeldStep();
    assertThat(serving.reserved()).contains(helper);

    serving.evacuate(zoneOf(helper));
    serving.releaseHeld();

    assertThat(serving.released()).contains(helper);
    assertThat(zonesOfSends()).containsExactly(other(zoneOf(helper)));
    assertThat(helperZones(serving.sent().get(0))).containsExactly(other(zoneOf(helper)));
  }

  @Test
  void aRetryDoesNotGoToAZoneThatWasEvacuatedSinceTheFirstAttempt() {
    start();
    serving.accept("/read/1", SHORT);
    Sent first = serving.sent().get(0);
    String zone = other(zoneOf(first.server()));

    serving.evacuate(zone);
    fail(first);

    assertThat(serving.sent()).hasSize(2);
    assertThat(zonesOfSends()).containsExactly(other(zone));
  }

  @Test
  void aStreamIsNotResumedInAZoneThatWasEvacuatedSinceItBegan() {
    start();
    serving.accept("/stream/1", SHORT);
    Sent first = serving.sent().get(0);
    serving.respond(first, "id: 1\n\n");
    String zone = other(zoneOf(first.server()));

    serving.evacuate(zone);
    fail(first);

    assertThat(serving.sent()).hasSize(2);
    assertThat(serving.sent().get(1).request().resumeAfterEvent().getAsLong()).isEqualTo(1);
    assertThat(zonesOfSends()).containsExactly(other(zone));
  }

  @Test
  void aStandbyAttemptIsNotSentToAZoneThatIsEvacuatedWhileItIsPlaced() {
    start();
    RecordedCaller caller = serving.accept("/stream/1", SHORT);
    Sent first = serving.sent().get(0);
    serving.respond(first, "id: 1\n\n");
    serving.hold();
    serving.time().advance(SILENCE);
    assertThat(serving.placementRequests()).hasSize(2);
    String zone = other(zoneOf(first.server()));

    serving.evacuate(zone);
    serving.releaseHeld();
    serving.time().advance(SilenceTimeouts.STANDBY_RETRY_PERIOD);

    assertThat(serving.sent()).hasSize(2);
    assertThat(zonesOfSends()).containsExactly(other(zone));
    assertThat(caller.finalResponses()).isEqualTo(0);
  }

  @Test
  void requestsThatRunInTheZoneKeepTheirMemoryAndFinish() {
    start();
    RecordedCaller caller = serving.accept("/stream/1", LARGER_THAN_AN_ENGINE);
    Sent attempt = serving.sent().get(0);
    ReplicaId helper = serving.reserved().get(0);

    serving.evacuate("a", "b");
    int reservedBefore = serving.reserved().size();
    serving.respond(attempt, "id: 1\n\n");
    serving.time().advance(Duration.ofMillis(1_100));
    List<ReplicaId> renewed = serving.reserved().subList(reservedBefore, serving.reserved().size());
    serving.end(attempt);

    assertThat(renewed).contains(helper);
    assertThat(caller.ended()).isTrue();
    assertThat(caller.body()).isEqualTo("id: 1\n\n");
    assertThat(serving.released()).contains(helper);
    assertThat(serving.sent()).hasSize(1);
  }

  @Test
  void withNoServerLeftRequestsAreRefusedAtOnceAsNotRun() {
    start();
    serving.evacuate("a", "b");

    RecordedCaller order = serving.accept("/order/1", SHORT);
    RecordedCaller stream = serving.accept("/stream/1", SHORT);
    RecordedCaller longStream = serving.accept("/stream/1", LARGER_THAN_AN_ENGINE);

    assertThat(order.refusal()).isEqualTo(RelayRefusal.NO_SERVER);
    assertThat(stream.refusal()).isEqualTo(RelayRefusal.OVERLOADED);
    assertThat(longStream.refusal()).isEqualTo(RelayRefusal.OVERLOADED);
    assertThat(
            Stream.of(order, stream, longStream)
                .allMatch(caller -> caller.refusal().status() == 503))
        .isTrue();
    assertThat(serving.sent()).isEmpty();
  }

  @Test
  void aDispatcherPlacesNothingInAnEvacuatedZoneForOtherNodes() {
    start();
    serving.evacuate("b");

    for (int i = 0; i < 4; i++) {
      Placement.Granted granted = grantedTo(LARGER_THAN_AN_ENGINE);
      assertThat(zoneOf(granted.server())).isEqualTo("a");
      assertThat(granted.helpers().stream().map(this::zoneOf).collect(Collectors.toSet()))
          .containsExactly("a");
    }
  }

  private void start() {
    serving.evacuate();
    list();
  }

  private void list() {
    serving.list(servers.toArray(BackendServer[]::new));
  }

  private void acceptMany() {
    for (int i = 0; i < 6; i++) {
      serving.time().advance(Duration.ofSeconds(2));
      serving.accept("/once/1", SHORT);
      serving.accept("/order/1", SHORT);
    }
    assertThat(serving.sent()).hasSize(12);
  }

  private void fail(Sent attempt) {
    attempt.listener().onFailure(true, BackendFailure.CONNECTION_LOST);
    serving.time().runDue();
  }

  private Set<String> zonesOfSends() {
    return serving.sent().stream().map(sent -> zoneOf(sent.server())).collect(Collectors.toSet());
  }

  private Set<String> helperZones(Sent attempt) {
    return attempt.request().helpers().stream()
        .flatMap(
            helper ->
                servers.stream()
                    .filter(server -> server.service().equals(RelayFixture.POOL))
                    .filter(server -> server.address().equals(helper.address())))
        .map(server -> server.zone().name())
        .collect(Collectors.toSet());
  }

  private ImmutableSet<ReplicaId> idsIn(String zone, ServiceName service) {
    return servers.stream()
        .filter(server -> server.zone().name().equals(zone) && server.service().equals(service))
        .map(BackendServer::id)
        .collect(ImmutableSet.toImmutableSet());
  }

  private String zoneOf(ReplicaId id) {
    return servers.stream()
        .filter(server -> server.id().equals(id))
        .findFirst()
        .orElseThrow()
        .zone()
        .name();
  }

  private static String other(String zone) {
    return zone.equals("a") ? "b" : "a";
  }

  /** Returns where a prompt would be placed now; the placement is ended at once. */
  private Placement.Granted grantedTo(long promptTokens) {
    Placement placement = placeForOther(promptTokens).orElseThrow();
    serving
        .endpoint()
        .report(List.of(new WorkReport.Ended(RelayFixture.POOL, new RequestId("probe"), false)));
    serving.time().runDue();
    return (Placement.Granted) placement;
  }

  private Optional<Placement> placeForOther(long promptTokens) {
    List<Optional<Placement>> replies = new ArrayList<>();
    serving
        .endpoint()
        .place(
            new PlacementRequest(
                new RequestId("probe"),
                RelayFixture.POOL,
                new GenerationSize(promptTokens, 100),
                PromptParts.NONE,
                Duration.ofMillis(300),
                Duration.ofMillis(200),
                Duration.ofSeconds(5),
                ImmutableSet.of()),
            replies::add);
    serving.time().runDue();
    return replies.get(0);
  }
}
