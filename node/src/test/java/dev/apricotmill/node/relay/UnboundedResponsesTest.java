package dev.apricotmill.node.relay;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import dev.apricotmill.core.relay.RelayRefusal;
import dev.apricotmill.node.relay.RelayFixture.RecordedCaller;
import dev.apricotmill.node.relay.RelayFixture.SentExchange;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

/** Responses without an end, and responses that are too slow to reach one. */
final class UnboundedResponsesTest {

  /** What an attempt may buffer before it fails: the largest response and its next chunk. */
  private static final int MAX_HELD_BYTES = (8 << 20) + (64 << 10);

  private static final String CHUNK = "x".repeat(64 << 10);

  private final RelayFixture relay = new RelayFixture(2);

  @Test
  void anEndlessEventFailsTheAttemptAndTheStreamResumesOnAnotherServer() {
    RecordedCaller caller = relay.accept("/stream/1");
    SentExchange endless = relay.last();
    endless.head(200, false);
    endless.body("id: 1\ndata: a\n\nid: 2\ndata: ");

    sendEndlessBody(endless);

    assertThat(endless.cancelled()).isTrue();
    SentExchange second = relay.last();
    assertThat(second.request().server()).isNotEqualTo(endless.request().server());
    second.head(200, false);
    second.body("id: 2\ndata: b\n\n");
    second.end();
    assertThat(caller.body()).isEqualTo("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  }

  @Test
  void anEndlessEventOfAnAtMostOnceStreamAbortsTheConnection() {
    RecordedCaller caller = relay.accept("/once/1");
    relay.last().head(200, false);
    relay.last().body("id: 1\n\n");

    sendEndlessBody(relay.last());

    assertThat(relay.sent()).hasSize(1);
    assertThat(caller.aborted()).isTrue();
    assertThat(caller.ended()).isFalse();
  }

  @Test
  void anEndlessResponseToAnAtMostOnceRequestIsNotReportedAsNotRun() {
    RecordedCaller caller = relay.accept("/order/1");
    relay.last().head(200, false);

    sendEndlessBody(relay.last());

    assertThat(relay.sent()).hasSize(1);
    assertThat(caller.refusal()).isEqualTo(RelayRefusal.BROKEN);
    assertThat(RelayRefusal.BROKEN.guaranteesNotRun()).isFalse();
  }

  @Test
  void theEndlessBodyOfARefusalIsNotReadToItsEnd() {
    for (boolean notRun : new boolean[] {true, false}) {
      relay.accept("/order/1");
      relay.last().head(503, notRun);

      sendEndlessBody(relay.last());
    }
  }

  @Test
  void theBodyOfARefusalThatDoesNotComeIsNotWaitedFor() {
    for (boolean notRun : new boolean[] {true, false}) {
      relay.accept("/order/1");
      relay.last().head(503, notRun);
      assertThat(relay.last().cancelled()).isFalse();

      relay.time().advance(Duration.ofMillis(600));

      assertThat(relay.last().cancelled()).isTrue();
    }
  }

  @Test
  void aRefusalThatEndsInTimeKeepsItsConnection() {
    for (boolean notRun : new boolean[] {true, false}) {
      relay.accept("/order/1");
      relay.last().head(503, notRun);
      relay.last().body("busy");
      relay.last().end();

      relay.time().advance(Duration.ofSeconds(5));

      assertThat(relay.last().cancelled()).isFalse();
    }
  }

  @Test
  void aStreamThatTricklesBytesWithoutCompletingAnEventCountsAsSilent() {
    relay.accept("/stream/1");
    SentExchange trickling = relay.last();
    trickling.head(200, false);
    trickling.body("id: 1\n\n");

    for (int i = 0; i < 20 && relay.sent().size() < 2; i++) {
      trickling.body("x");
      relay.time().advance(Duration.ofMillis(100));
    }

    assertThat(relay.sent()).hasSize(2);
    relay.last().head(200, false);
    relay.last().body("id: 2\n\n");
    assertThat(trickling.cancelled()).isTrue();
  }

  @Test
  void aSlowButValidStreamIsNotInterrupted() {
    RecordedCaller caller = relay.accept("/stream/1");
    SentExchange slow = relay.last();
    slow.head(200, false);
    StringBuilder expected = new StringBuilder();

    for (int i = 1; i <= 3; i++) {
      String event = "id: " + i + "\n\n";
      slow.body(event);
      expected.append(event);
      relay.time().advance(Duration.ofMillis(900));
    }
    slow.end();

    assertThat(relay.sent()).hasSize(1);
    assertThat(caller.body()).isEqualTo(expected.toString());
    assertThat(caller.ended()).isTrue();
  }

  /** Guards against a node that runs out of memory though each response is within its limit. */
  @Test
  void manyEndlessBodiesTogetherAreBufferedWithinOneBound() {
    for (int i = 0; i < 40; i++) {
      relay.accept("r" + i, i % 2 == 0 ? "/read/1" : "/order/1", OptionalLong.empty());
      relay.last().head(i % 3 == 0 ? 500 : 200, false);
    }
    List<SentExchange> endless = List.copyOf(relay.sent());

    long held = sendInTurn(endless);

    assertThat(held).isAtMost(RelayFixture.MAX_BUFFERED_BYTES);
    assertThat(endless.stream().allMatch(SentExchange::cancelled)).isTrue();
  }

  @Test
  void manyEndlessEventsTogetherAreBufferedWithinOneBound() {
    for (int i = 0; i < 40; i++) {
      relay.accept("r" + i, "/once/1", OptionalLong.empty());
      if (relay.sent().size() > i) {
        relay.last().head(200, false);
        relay.last().body("id: 1\n\nid: 2\ndata: ");
      }
    }

    long held = sendInTurn(List.copyOf(relay.sent()));

    assertThat(held).isAtMost(RelayFixture.MAX_BUFFERED_BYTES);
  }

  @Test
  void aSmallResponseIsServedWhileEndlessBodiesUseUpTheBuffers() {
    for (int i = 0; i < 3; i++) {
      relay.accept("r" + i, "/order/1", OptionalLong.empty());
      relay.last().head(200, false);
    }
    List<SentExchange> endless = List.copyOf(relay.sent());
    RecordedCaller caller = relay.accept("small", "/order/1", OptionalLong.empty());
    SentExchange small = relay.last();
    small.head(200, false);
    for (int i = 0; i < 84; i++) {
      endless.forEach(exchange -> exchange.body(CHUNK));
    }

    for (int i = 0; i < 8; i++) {
      small.body(CHUNK);
    }
    small.end();

    assertThat(caller.status()).isEqualTo(200);
    assertThat(caller.body()).isEqualTo(CHUNK.repeat(8));
  }

  @Test
  void aResponseThatItsCallerHasNotTakenCountsAsBuffered() {
    RecordedCaller caller = relay.accept("/order/1");
    relay.last().head(200, false);
    relay.last().body(CHUNK);
    relay.last().end();
    assertThat(relay.bufferedBytes()).isEqualTo(CHUNK.length());

    caller.readChunks(1);

    assertThat(relay.bufferedBytes()).isEqualTo(0);
  }

  @Test
  void anErrorThatIsKeptWhileAnotherServerIsTriedCountsAsBuffered() {
    RecordedCaller caller = relay.accept("/read/1");
    relay.last().head(500, false);
    relay.last().body(CHUNK);
    relay.last().end();
    assertThat(relay.bufferedBytes()).isEqualTo(CHUNK.length());

    relay.last().head(200, false);
    relay.last().end();

    assertThat(caller.status()).isEqualTo(200);
    assertThat(relay.bufferedBytes()).isEqualTo(0);
  }

  /** Sends a chunk on each exchange in turn; returns the most bytes that were open at a time. */
  private static long sendInTurn(List<SentExchange> exchanges) {
    Map<SentExchange, Long> open = new HashMap<>();
    long most = 0;
    for (int i = 0; i <= MAX_HELD_BYTES / CHUNK.length(); i++) {
      for (SentExchange exchange : exchanges) {
        if (!exchange.cancelled()) {
          exchange.body(CHUNK);
          open.merge(exchange, (long) CHUNK.length(), Long::sum);
        }
        open.keySet().removeIf(SentExchange::cancelled);
        most = Math.max(most, open.values().stream().mapToLong(Long::longValue).sum());
      }
    }
    return most;
  }

  private static void sendEndlessBody(SentExchange exchange) {
    for (int sent = 0; !exchange.cancelled(); sent += CHUNK.length()) {
      assertWithMessage("bytes read of an endless response").that(sent).isAtMost(MAX_HELD_BYTES);
      exchange.body(CHUNK);
    }
  }
}
