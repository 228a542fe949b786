package dev.apricotmill.node.relay;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableMap;
import dev.apricotmill.core.relay.RelayRefusal;
import dev.apricotmill.node.relay.RelayFixture.RecordedCaller;
import dev.apricotmill.node.relay.RelayFixture.SentExchange;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

/** Requests of a service without engines at a relay that weighs how servers answer. */
final class WeighedPlainServiceTest {

  private final RelayFixture relay = new RelayFixture(2, /* weighsAnswers= */ true);
  private int requests;

  private SentExchange send(String path) {
    var unused = accept(path);
    return relay.last();
  }

  private RecordedCaller accept(String path) {
    return relay.accept("r" + ++requests, path, OptionalLong.empty());
  }

  private static String server(SentExchange exchange) {
    return exchange.request().server().id().value();
  }

  private static void respond(SentExchange exchange, int status) {
    exchange.head(status, false);
    exchange.body("x");
    exchange.end();
  }

  /** Sends requests one after the other; returns how many of them go to {@code server}. */
  private int countRequestsTo(String server, int count) {
    int found = 0;
    for (int i = 0; i < count; i++) {
      SentExchange exchange = send("/order/1");
      respond(exchange, 200);
      found += server(exchange).equals(server) ? 1 : 0;
    }
    return found;
  }

  @Test
  void aServerErrorOfAnAtMostOnceCallIsPassedOnAndItsServerIsAvoided() {
    RecordedCaller caller = accept("/order/1");
    SentExchange failed = relay.last();
    respond(failed, 500);

    assertThat(caller.status()).isEqualTo(500);
    assertThat(relay.sent()).hasSize(1);
    assertThat(relay.logOfServers())
        .containsExactly("server.weight_lowered {server=" + server(failed) + ", service=desk}");
    assertThat(countRequestsTo(server(failed), 10)).isEqualTo(0);
  }

  @Test
  void aResetConnectionAvoidsTheServer() {
    SentExchange failed = send("/order/1");
    failed.fail(true);

    assertThat(countRequestsTo(server(failed), 10)).isEqualTo(0);
  }

  @Test
  void aRefusedCallGoesToAnotherServerAndTheFirstOneIsAvoided() {
    SentExchange refused = send("/read/1");
    refused.head(429, true);
    SentExchange second = relay.last();
    assertThat(server(second)).isNotEqualTo(server(refused));
    respond(second, 200);

    assertThat(countRequestsTo(server(refused), 10)).isEqualTo(0);
  }

  @Test
  void aLateAnswerAvoidsTheServer() {
    SentExchange late = send("/order/1");
    relay.time().advance(ScriptedRoutes.LATENCY_TARGET.plusMillis(1));
    respond(late, 200);

    assertThat(countRequestsTo(server(late), 10)).isEqualTo(0);
  }

  /** A first server that could not be reached may take longer than the whole target. */
  @Test
  void aServerIsNotBlamedForTheTimeThatAnotherTookBeforeIt() {
    SentExchange unreachable = send("/order/1");
    relay.time().advance(ScriptedRoutes.LATENCY_TARGET.plusMillis(100));
    unreachable.fail(false);
    SentExchange second = relay.last();
    assertThat(server(second)).isNotEqualTo(server(unreachable));
    respond(second, 200);

    assertThat(relay.logOfServers())
        .containsExactly(
            "server.weight_lowered {server=" + server(unreachable) + ", service=desk}");
  }

  @Test
  void anErrorOfTheCallerIsNoFaultOfTheServer() {
    for (int i = 0; i < 6; i++) {
      respond(send("/order/1"), 404);
    }

    assertThat(relay.logOfServers()).isEmpty();
  }

  @Test
  void theServerThatAnswersAgainIsLoggedAsRestored() {
    SentExchange failed = send("/order/1");
    respond(failed, 500);
    relay.time().advance(Duration.ofSeconds(20));
    relay.node().update(view -> view.withValidation(Optional.of(relay.validatedNow())));

    assertThat(countRequestsTo(server(failed), 30)).isAtLeast(8);
    assertThat(relay.logOfServers())
        .contains("server.weight_restored {server=" + server(failed) + ", service=desk}");
  }

  /** A refusal that has no other server to go to must not be asked for without end. */
  @Test
  void withoutAServerTheCallIsRefusedAtOnce() {
    relay.setServers(ImmutableMap.of());

    assertThat(accept("/order/1").refusal()).isEqualTo(RelayRefusal.NO_SERVER);
    assertThat(relay.sent()).isEmpty();
  }

  @Test
  void aRepeatableCallThatEveryServerFailsEndsWithAFailure() {
    RecordedCaller caller = accept("/read/1");
    respond(relay.last(), 500);
    respond(relay.last(), 500);

    assertThat(caller.status()).isEqualTo(500);
    assertThat(relay.sent()).hasSize(2);
  }
}
