package dev.apricotmill.node.relay;

import static com.google.common.truth.Truth.assertThat;

import dev.apricotmill.core.relay.RelayRefusal;
import dev.apricotmill.node.relay.RelayFixture.RecordedCaller;
import dev.apricotmill.node.relay.RelayFixture.SentExchange;
import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

final class RelayCallTest {

  private static final int RETRY_RESERVE = 2;
  private final RelayFixture relay = new RelayFixture(RETRY_RESERVE);

  @Test
  void aCompleteResponseIsPassedOnUnchanged() {
    RecordedCaller caller = relay.accept("/order/1");

    relay.last().head(200, false);
    relay.last().body("done");
    assertThat(caller.status()).isEqualTo(0);
    relay.last().end();

    assertThat(caller.status()).isEqualTo(200);
    assertThat(caller.body()).isEqualTo("done");
    assertThat(caller.headers())
        .containsEntry("from", relay.last().request().server().id().value());
    assertThat(relay.node().openRequests()).isEqualTo(0);
  }

  @Test
  void anAtMostOnceRequestIsNotRetriedAfterAConnectionLoss() {
    RecordedCaller caller = relay.accept("/order/1");

    relay.last().fail(true);

    assertThat(relay.sent()).hasSize(1);
    assertThat(caller.refusal()).isEqualTo(RelayRefusal.BROKEN);
    assertThat(RelayRefusal.BROKEN.guaranteesNotRun()).isFalse();
  }

  @Test
  void anAtMostOnceRequestThatWasNotSentGoesToAnotherServer() {
    RecordedCaller caller = relay.accept("/order/1");
    String first = relay.last().request().server().id().value();

    relay.last().fail(false);

    assertThat(relay.sent()).hasSize(2);
    assertThat(relay.last().request().server().id().value()).isNotEqualTo(first);
    assertThat(caller.refusal()).isNull();
  }

  @Test
  void anAtMostOnceRequestThatItsServerDidNotRunIsRefusedAsNotRun() {
    RecordedCaller caller = relay.accept("/order/1");

    relay.last().head(503, true);

    assertThat(relay.sent()).hasSize(1);
    assertThat(caller.refusal()).isEqualTo(RelayRefusal.REFUSED_BY_SERVER);
  }

  @Test
  void anAtMostOnceRequestThatTimesOutMayHaveRun() {
    RecordedCaller caller = relay.accept("/order/1");

    relay.time().advance(Duration.ofMillis(3_001));

    assertThat(caller.refusal()).isEqualTo(RelayRefusal.EXPIRED);
    assertThat(relay.last().cancelled()).isTrue();
  }

  @Test
  void aRepeatableRequestIsRetriedAfterAConnectionLossAndAfterAServerError() {
    RecordedCaller caller = relay.accept("/read/1");
    relay.last().fail(true);
    assertThat(relay.sent()).hasSize(2);
    relay.last().head(200, false);
    relay.last().end();
    assertThat(caller.status()).isEqualTo(200);

    RecordedCaller second = relay.accept("/read/2");
    relay.last().head(500, false);
    relay.last().body("error");
    relay.last().end();
    assertThat(relay.sent()).hasSize(4);
    relay.last().head(200, false);
    relay.last().end();
    assertThat(second.status()).isEqualTo(200);
  }

  @Test
  void aServerErrorIsPassedOnIfTheRetryFails() {
    RecordedCaller caller = relay.accept("/read/1");
    relay.last().head(500, false);
    relay.last().body("error");
    relay.last().end();

    relay.last().fail(true);

    assertThat(caller.status()).isEqualTo(500);
    assertThat(caller.body()).isEqualTo("error");
  }

  @Test
  void retriesAreLimitedByTheRetryBudget() {
    for (int i = 0; i <= RETRY_RESERVE; i++) {
      relay.accept("/read/1");
      relay.last().fail(true);
    }

    assertThat(relay.sent()).hasSize(RETRY_RESERVE + 1 + RETRY_RESERVE);
  }

  @Test
  void noRequestIsSentMoreOftenThanItsRouteAllows() {
    RecordedCaller caller = relay.accept("/read/1");
    relay.last().fail(true);

    relay.last().fail(true);

    assertThat(relay.sent()).hasSize(2);
    assertThat(caller.refusal()).isEqualTo(RelayRefusal.BROKEN);
  }

  @Test
  void aStreamThatBreaksWithinAnEventResumesOnAnotherServer() {
    RecordedCaller caller = relay.accept("/stream/1");
    SentExchange first = relay.last();
    first.head(200, false);
    first.body("id: 1\ndata: a\n\nid: 2\ndata: b");

    first.fail(true);

    SentExchange second = relay.last();
    assertThat(second.request().resumeAfterEvent()).isEqualTo(OptionalLong.of(1));
    assertThat(second.request().server()).isNotEqualTo(first.request().server());
    second.head(200, false);
    second.body("id: 2\ndata: b\n\n");
    second.end();
    assertThat(caller.body()).isEqualTo("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    assertThat(caller.headers()).containsEntry("from", first.request().server().id().value());
    assertThat(caller.ended()).isTrue();
  }

  @Test
  void anAtMostOnceStreamIsAbortedWhenItsServerFails() {
    RecordedCaller caller = relay.accept("/once/1");
    relay.last().head(200, false);
    relay.last().body("id: 1\n\n");

    relay.last().fail(true);

    assertThat(relay.sent()).hasSize(1);
    assertThat(caller.aborted()).isTrue();
    assertThat(caller.ended()).isFalse();
  }

  @Test
  void aStreamThatEndsWithinAnEventIsIncomplete() {
    RecordedCaller caller = relay.accept("/once/1");
    relay.last().head(200, false);
    relay.last().body("id: 1\n\nid: 2\n");

    relay.last().end();

    assertThat(caller.aborted()).isTrue();
    assertThat(caller.ended()).isFalse();
  }

  @Test
  void aStreamOfASilentServerMovesToAnotherServer() {
    relay.accept("/stream/1");

    relay.time().advance(Duration.ofMillis(1_800));

    assertThat(relay.sent()).hasSize(2);
    relay.last().head(200, false);
    relay.last().body("id: 1\n\n");
    assertThat(relay.sent().get(0).cancelled()).isTrue();
  }

  @Test
  void eventsOfACancelledAttemptAreIgnored() {
    RecordedCaller caller = relay.accept("/stream/1");
    SentExchange first = relay.last();
    relay.time().advance(Duration.ofMillis(1_800));
    relay.last().head(201, false);
    relay.last().body("id: 1\n\n");

    first.head(200, false);
    first.body("id: 1\n\n");
    first.end();

    assertThat(first.cancelled()).isTrue();
    assertThat(caller.status()).isEqualTo(201);
    assertThat(caller.body()).isEqualTo("id: 1\n\n");
    assertThat(caller.ended()).isFalse();
  }

  @Test
  void aDisconnectingCallerClosesTheConnectionToTheServer() {
    RecordedCaller caller = relay.accept("/stream/1");

    caller.disconnect();
    relay.time().runDue();

    assertThat(relay.last().cancelled()).isTrue();
    assertThat(relay.node().openRequests()).isEqualTo(0);
  }

  @Test
  void aRefusalThatBlamesAHelperDoesNotExcludeTheRefusingServer() {
    relay.accept("/stream/1");
    SentExchange first = relay.last();
    first.setFaultyServer(
        first.request().server().id().value().equals("pool1") ? "pool2" : "pool1");

    first.head(503, true);

    assertThat(relay.last().request().server()).isEqualTo(first.request().server());
    assertThat(relay.sent()).hasSize(2);
  }

  @Test
  void theRemainingTimeShrinksWithEachAttempt() {
    relay.accept("/read/1");
    relay.time().advance(Duration.ofMillis(500));
    relay.last().fail(true);

    assertThat(relay.last().request().remaining()).isEqualTo(Duration.ofMillis(2_500));
  }

  @Test
  void anIncompleteResponseToAnAtMostOnceRequestIsNotPassedOn() {
    RecordedCaller caller = relay.accept("/order/1");
    relay.last().head(200, false);
    relay.last().body("half");

    relay.last().fail(true);

    assertThat(caller.refusal()).isEqualTo(RelayRefusal.BROKEN);
    assertThat(caller.body()).isEmpty();
  }

  @Test
  void aServerIsNotReadFasterThanTheCallerReads() {
    RecordedCaller caller = relay.accept("/stream/1");
    relay.last().head(200, false);
    String event = "id: %d\ndata: " + "x".repeat(FlowControlWindow.MAX_UNREAD_BYTES / 2) + "\n\n";

    relay.last().body(String.format(event, 1));
    assertThat(relay.last().readingPaused()).isFalse();
    relay.last().body(String.format(event, 2));
    assertThat(relay.last().readingPaused()).isTrue();

    caller.readChunks(1);
    relay.time().runDue();
    assertThat(relay.last().readingPaused()).isFalse();
  }

  @Test
  void aServerWhoseReadingIsPausedDoesNotCountAsSilent() {
    RecordedCaller caller = relay.accept("/stream/1");
    relay.last().head(200, false);
    relay.last().body("id: 1\ndata: " + "x".repeat(FlowControlWindow.MAX_UNREAD_BYTES) + "\n\n");

    relay.time().advance(Duration.ofMillis(2_500));
    assertThat(relay.sent()).hasSize(1);

    caller.readChunks(1);
    relay.time().runDue();
    relay.last().body("id: 2\ndata: y\n\n");
    relay.last().end();
    assertThat(caller.ended()).isTrue();
  }

  @Test
  void aResponseLargerThanTheBufferIsRefusedAsBroken() {
    RecordedCaller caller = relay.accept("/order/1");
    relay.last().head(200, false);
    String chunk = "x".repeat(1 << 20);

    for (int i = 0; i < 9; i++) {
      relay.last().body(chunk);
    }

    assertThat(caller.refusal()).isEqualTo(RelayRefusal.BROKEN);
    assertThat(relay.last().cancelled()).isTrue();
  }

  @Test
  void aStreamThatASecondServerFailsToResumeDoesNotLookComplete() {
    RecordedCaller caller = relay.accept("/stream/1");
    relay.last().head(200, false);
    relay.last().body("id: 1\ndata: a\n\n");
    relay.last().fail(true);

    relay.last().head(500, false);
    relay.last().body("error");
    relay.last().end();

    assertThat(caller.ended()).isFalse();
    assertThat(caller.aborted()).isTrue();
  }

  @Test
  void nothingOfAnErrorReachesAStreamThatASecondServerWasToResume() {
    for (int status : new int[] {204, 302, 404, 429, 500, 503}) {
      RelayFixture fixture = new RelayFixture(RETRY_RESERVE);
      RecordedCaller caller = acceptAndBreakStream(fixture);

      fixture.last().head(status, false);
      fixture.last().body("id: 2\ndata: error\n\n");
      fixture.last().end();

      assertThat(caller.body()).isEqualTo("id: 1\ndata: a\n\n");
      assertThat(caller.ended()).isFalse();
      assertThat(caller.aborted()).isTrue();
    }
  }

  @Test
  void anErrorWithoutAnEventIdIsNotPartOfAStream() {
    for (String error : List.of("{\"error\": \"no memory\"}\n\n", "HTTP/1.1 500 Error\r\n\r\n")) {
      RelayFixture fixture = new RelayFixture(RETRY_RESERVE);
      RecordedCaller caller = acceptAndBreakStream(fixture);

      fixture.last().head(200, false);
      fixture.last().body(error);
      fixture.last().end();

      assertThat(caller.body()).isEqualTo("id: 1\ndata: a\n\n");
      assertThat(caller.ended()).isFalse();
      assertThat(caller.aborted()).isTrue();
    }
  }

  @Test
  void aServerThatCannotResumeAStreamIsLeftAtOnce() {
    RecordedCaller caller = acceptAndBreakStream(relay);

    relay.last().head(500, false);

    assertThat(relay.last().cancelled()).isTrue();
    assertThat(caller.aborted()).isTrue();
  }

  /** Begins a stream, breaks it off after an event, and lets a second server be asked. */
  private static RecordedCaller acceptAndBreakStream(RelayFixture relay) {
    RecordedCaller caller = relay.accept("/stream/1");
    relay.last().head(200, false);
    relay.last().body("id: 1\ndata: a\n\n");
    relay.last().fail(true);
    return caller;
  }
}
