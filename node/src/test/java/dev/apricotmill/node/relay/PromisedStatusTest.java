package dev.apricotmill.node.relay;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import dev.apricotmill.core.relay.RelayRefusal;
import dev.apricotmill.node.relay.RelayFixture.RecordedCaller;
import dev.apricotmill.node.relay.RelayFixture.SentExchange;
import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/**
 * Guards against a status that tells a caller "not run, and never will be" for a request that a
 * server ran: the caller sends such a request again, and it runs twice.
 */
final class PromisedStatusTest {

  private static final int RETRY_RESERVE = 2;

  /** The statuses that callers take as a promise; a server may also end a run with them. */
  private static final List<Integer> PROMISING = List.of(408, 421, 429, 503);

  @Test
  void anErrorOfAServerThatMayHaveRunTheRequestIsNotPassedOnAsNotRun() {
    for (String path : List.of("/order/1", "/once/1")) {
      for (int status : PROMISING) {
        RelayFixture relay = new RelayFixture(RETRY_RESERVE);
        RecordedCaller caller = relay.accept(path);

        respondWithError(relay.last(), status);

        assertMayHaveRun(path + " after " + status, caller);
        assertThat(relay.sent()).hasSize(1);
      }
    }
  }

  @Test
  void anErrorOfEveryServerThatMayHaveRunTheRequestIsNotPassedOnAsNotRun() {
    for (String path : List.of("/read/1", "/stream/1")) {
      for (int status : PROMISING) {
        RelayFixture relay = new RelayFixture(RETRY_RESERVE);
        RecordedCaller caller = relay.accept(path);

        respondWithError(relay.last(), status);
        assertWithMessage("attempts of %s after %s", path, status).that(relay.sent()).hasSize(2);
        respondWithError(relay.last(), status);

        assertMayHaveRun(path + " after " + status, caller);
      }
    }
  }

  @Test
  void anErrorThatWasKeptForTheCallerIsNotPassedOnAsNotRun() {
    List<Consumer<RelayFixture>> secondAttempts =
        List.of(
            relay -> relay.last().fail(true),
            relay -> relay.last().fail(false),
            relay -> relay.last().head(503, true),
            relay -> relay.time().advance(Duration.ofMillis(3_001)));
    for (Consumer<RelayFixture> secondAttempt : secondAttempts) {
      RelayFixture relay = new RelayFixture(RETRY_RESERVE);
      RecordedCaller caller = relay.accept("/read/1");
      respondWithError(relay.last(), 503);

      secondAttempt.accept(relay);
      relay.time().advance(Duration.ofMillis(3_001));

      assertMayHaveRun("/read/1", caller);
    }
  }

  @Test
  void aRefusalAfterAnAttemptThatMayHaveRunIsNotPassedOnAsNotRun() {
    for (String path : List.of("/read/1", "/stream/1")) {
      RelayFixture relay = new RelayFixture(RETRY_RESERVE);
      RecordedCaller caller = relay.accept(path);
      relay.last().fail(true);

      relay.last().head(503, true);

      assertMayHaveRun(path, caller);
    }
  }

  @Test
  void aRepeatableRequestIsAnsweredByAnotherServerAfterAnErrorThatReadsAsARefusal() {
    for (int status : PROMISING) {
      RelayFixture relay = new RelayFixture(RETRY_RESERVE);
      RecordedCaller caller = relay.accept("/read/1");
      SentExchange first = relay.last();

      respondWithError(first, status);
      relay.last().head(200, false);
      relay.last().body("done");
      relay.last().end();

      assertThat(relay.last().request().server()).isNotEqualTo(first.request().server());
      assertThat(caller.status()).isEqualTo(200);
      assertThat(caller.body()).isEqualTo("done");
    }
  }

  private static void respondWithError(SentExchange exchange, int status) {
    exchange.head(status, false);
    exchange.body("error");
    exchange.end();
  }

  private static void assertMayHaveRun(String request, RecordedCaller caller) {
    assertWithMessage(request).that(caller.finalResponses()).isEqualTo(1);
    assertWithMessage(request).that(PROMISING).doesNotContain(caller.status());
    RelayRefusal refusal = caller.refusal();
    if (refusal != null) {
      assertWithMessage(request).that(refusal.guaranteesNotRun()).isFalse();
    }
  }
}
