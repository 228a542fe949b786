package dev.apricotmill.node.relay;

import static com.google.common.truth.Truth.assertThat;

import dev.apricotmill.core.relay.BackendServer;
import dev.apricotmill.core.relay.RelayRefusal;
import dev.apricotmill.core.relay.ServerNotice;
import dev.apricotmill.node.relay.RelayFixture.RecordedCaller;
import dev.apricotmill.node.relay.RelayFixture.SentExchange;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

/** Tests that a server that asks for a pause gets nothing from the node until the pause is over. */
final class ServerPauseTest {

  private static final int RETRY_RESERVE = 100;
  private static final Duration PAUSE = Duration.ofSeconds(5);
  private static final long TOKENS_ABOVE_CAPACITY_OF_ONE_ENGINE = 600_000;

  private final RelayFixture relay = new RelayFixture(RETRY_RESERVE);
  private int acceptedCount;

  @Test
  void aBurstOfRequestsAvoidsAPausedServer() {
    BackendServer paused = pauseServerOf("/read/");

    for (int i = 0; i < 40; i++) {
      advance(Duration.ofMillis(100));
      accept("/read/");
      relay.last().head(200, false);
      relay.last().end();
    }

    assertThat(sentTo(paused)).hasSize(1);
    assertThat(relay.sent()).hasSize(1 + 1 + 40);
  }

  @Test
  void aRequestThatIsRefusedWithAPauseGoesToAnotherServer() {
    RecordedCaller caller = accept("/read/");
    BackendServer paused = relay.last().request().server();

    relay.last().refuse(PAUSE);

    assertThat(relay.sent()).hasSize(2);
    assertThat(relay.last().request().server()).isNotEqualTo(paused);
    assertThat(caller.refusal()).isNull();
  }

  @Test
  void retriesInAPoolAvoidAPausedServer() {
    BackendServer paused = pauseServerOf("/stream/");

    for (int i = 0; i < 20; i++) {
      accept("/stream/");
      relay.last().fail(true);
      relay.last().head(200, false);
      relay.last().body("id: 1\ndata: a\n\n");
      relay.last().end();
      advance(Duration.ofMillis(200));
    }

    assertThat(sentTo(paused)).hasSize(1);
  }

  @Test
  void resumedStreamsAvoidAPausedServer() {
    BackendServer paused = pauseServerOf("/stream/");
    // The pool avoids the server for a while by itself, since it has refused a request.
    advance(Duration.ofMillis(3_500));

    for (int i = 0; i < 6; i++) {
      accept("/stream/");
      relay.last().head(200, false);
      relay.last().body("id: 1\ndata: a\n\n");
      relay.last().fail(true);
      assertThat(relay.last().request().resumeAfterEvent()).hasValue(1);
      relay.last().head(200, false);
      relay.last().body("id: 2\ndata: b\n\n");
      relay.last().end();
    }

    assertThat(sentTo(paused)).hasSize(1);
  }

  @Test
  void aHelperThatIsPausedIsNotAskedForMemory() {
    relay.setPromptTokens(TOKENS_ABOVE_CAPACITY_OF_ONE_ENGINE);
    accept("/stream/").disconnect();
    advance(Duration.ofSeconds(1));
    String helper = relay.reservationCalls().get(0).replace("reserve ", "");
    pause(helper);

    accept("/stream/");

    assertThat(relay.reservationCalls().stream().filter(("reserve " + helper)::equals)).hasSize(1);
    assertThat(relay.last().request().helpers()).isNotEmpty();
    assertThat(relay.last().request().server().id().value()).isNotEqualTo(helper);
  }

  @Test
  void aReservationAtAPausedHelperIsNotRenewedButReleased() {
    relay.setPromptTokens(TOKENS_ABOVE_CAPACITY_OF_ONE_ENGINE);
    RecordedCaller caller = accept("/stream/");
    String helper = relay.reservationCalls().get(0).replace("reserve ", "");
    pause(helper);

    advance(Duration.ofMillis(1_500));
    caller.disconnect();
    relay.time().runDue();

    assertThat(relay.reservationCalls().stream().filter(call -> call.endsWith(helper)))
        .containsExactly("reserve " + helper, "release " + helper)
        .inOrder();
  }

  @Test
  void aRouteWithOneServerIsRefusedAtOnceWithTheRemainingTime() {
    relay.setServers(ScriptedServers.ofServices(1, RelayFixture.POOL, RelayFixture.DESK));
    for (String path : List.of("/read/", "/order/", "/stream/")) {
      RecordedCaller first = accept(path);
      relay.last().refuse(PAUSE);
      assertThat(first.refusal()).isEqualTo(RelayRefusal.SERVERS_PAUSED);
      assertThat(first.retryAfter()).isEqualTo(PAUSE);
      int sent = relay.sent().size();

      advance(Duration.ofSeconds(1));
      RecordedCaller second = accept(path);

      assertThat(second.refusal()).isEqualTo(RelayRefusal.SERVERS_PAUSED);
      assertThat(second.retryAfter()).isEqualTo(PAUSE.minusSeconds(1));
      assertThat(relay.sent()).hasSize(sent);
      advance(PAUSE.plus(PausedServers.RETURN_DURATION));
    }
  }

  @Test
  void aRefusalDuringThePauseOfAllServersTakesNothingFromTheRetryBudget() {
    RelayFixture fixture = new RelayFixture(1);
    fixture.setServers(ScriptedServers.ofServices(1, RelayFixture.DESK));
    fixture.accept("/read/1");
    fixture.last().refuse(PAUSE);
    fixture.setServers(ScriptedServers.ofServices(3, RelayFixture.DESK));

    fixture.accept("/read/2");
    fixture.last().fail(true);

    assertThat(fixture.sent()).hasSize(3);
  }

  @Test
  void aRefusalNamesTheShortestPause() {
    relay.setServers(ScriptedServers.ofServices(2, RelayFixture.DESK));
    pause("desk0", Duration.ofSeconds(7));
    pause("desk1", Duration.ofSeconds(3));

    assertThat(accept("/read/").retryAfter()).isEqualTo(Duration.ofSeconds(3));
    assertThat(relay.sent()).isEmpty();
  }

  @Test
  void aRequestThatMayHaveRunIsNotRefusedAsNotRunDuringAPause() {
    relay.setServers(ScriptedServers.ofServices(1, RelayFixture.DESK));
    RecordedCaller caller = accept("/read/");
    pause("desk0");

    relay.last().fail(true);

    assertThat(caller.refusal()).isEqualTo(RelayRefusal.BROKEN);
  }

  @Test
  void requestsReturnGraduallyAfterAPause() {
    relay.setServers(ScriptedServers.ofServices(1, RelayFixture.DESK));
    pause("desk0");
    advance(PAUSE);

    assertThat(sentOfBurst(20)).isEqualTo(1);
    advance(PausedServers.RETURN_STEP);
    assertThat(sentOfBurst(20)).isEqualTo(1);
    advance(PausedServers.RETURN_STEP);
    assertThat(sentOfBurst(20)).isEqualTo(2);
    advance(PausedServers.RETURN_DURATION);
    assertThat(sentOfBurst(20)).isEqualTo(20);
  }

  @Test
  void aResponseWithoutAPauseLetsFurtherRequestsReturn() {
    relay.setServers(ScriptedServers.ofServices(1, RelayFixture.DESK));
    pause("desk0");
    advance(PAUSE);

    for (int i = 1; i <= 5; i++) {
      accept("/read/");
      assertThat(relay.sent()).hasSize(i);
      relay.last().head(200, false);
      relay.last().end();
    }

    assertThat(sentOfBurst(20)).isEqualTo(6);
  }

  @Test
  void requestsThatReturnToAServerOfAPoolLeaveTheOthersInUse() {
    BackendServer paused = pauseServerOf("/stream/");
    advance(PAUSE);

    assertThat(sentOfBurst("/stream/", 6)).isEqualTo(6);

    assertThat(sentTo(paused).size()).isAtMost(2);
  }

  @Test
  void aRestartedNodeHonoursThePauseOfTheNextResponse() {
    relay.setServers(ScriptedServers.ofServices(1, RelayFixture.DESK));
    pause("desk0");
    RelayFixture restarted = new RelayFixture(RETRY_RESERVE);
    restarted.setServers(ScriptedServers.ofServices(1, RelayFixture.DESK));

    restarted.accept("/read/1");
    restarted.last().refuse(PAUSE);
    RecordedCaller caller = restarted.accept("/read/2");

    assertThat(caller.refusal()).isEqualTo(RelayRefusal.SERVERS_PAUSED);
    assertThat(restarted.sent()).hasSize(1);
  }

  @Test
  void theBeginningAndTheEndOfAPauseAreLoggedOnce() {
    pause("desk0", Duration.ofSeconds(2));
    pause("desk0", Duration.ofSeconds(3));
    pause("desk0", Duration.ofSeconds(1));
    advance(PAUSE.plus(PausedServers.RETURN_DURATION));

    assertThat(relay.logOfServers())
        .containsExactly(
            "server.paused {server=desk0, service=desk, for_ms=2000}",
            "server.pause_ended {server=desk0, service=desk, lasted_ms=3000}")
        .inOrder();
  }

  @Test
  void anAbsurdPauseIsLoggedOnceAndEnds() {
    relay.setServers(ScriptedServers.ofServices(1, RelayFixture.DESK));
    pause("desk0", Duration.ofDays(300));
    pause("desk0", Duration.ofMillis(Long.MAX_VALUE));

    assertThat(accept("/read/").retryAfter()).isEqualTo(PausedServers.MAX_PAUSE);
    assertThat(relay.logOfServers())
        .containsExactly(
            "server.pause_capped {server=desk0, service=desk, requested_ms=25920000000}",
            "server.paused {server=desk0, service=desk, for_ms=3600000}");
  }

  /** Sends a request and lets its server refuse it with a pause. */
  private BackendServer pauseServerOf(String path) {
    accept(path);
    SentExchange exchange = relay.last();
    exchange.refuse(PAUSE);
    return exchange.request().server();
  }

  private void pause(String server) {
    pause(server, PAUSE);
  }

  private void pause(String server, Duration duration) {
    relay.node().view().servers().orElseThrow().serversById().values().stream()
        .filter(candidate -> candidate.id().value().equals(server))
        .forEach(
            candidate ->
                relay.node().onNotice(candidate, new ServerNotice(false, Optional.of(duration))));
    relay.time().runDue();
  }

  /** Advances the time; the configuration stays validated. */
  private void advance(Duration duration) {
    relay.time().advance(duration);
    relay.node().update(view -> view.withValidation(Optional.of(relay.validatedNow())));
  }

  private RecordedCaller accept(String path) {
    acceptedCount++;
    return relay.accept("r" + acceptedCount, path + acceptedCount, OptionalLong.empty());
  }

  private int sentOfBurst(int requests) {
    return sentOfBurst("/read/", requests);
  }

  private int sentOfBurst(String path, int requests) {
    int before = relay.sent().size();
    for (int i = 0; i < requests; i++) {
      accept(path);
    }
    return relay.sent().size() - before;
  }

  private List<SentExchange> sentTo(BackendServer server) {
    return relay.sent().stream()
        .filter(exchange -> exchange.request().server().equals(server))
        .toList();
  }
}
