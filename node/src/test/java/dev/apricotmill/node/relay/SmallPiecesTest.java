package dev.apricotmill.node.relay;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import dev.apricotmill.node.relay.RelayFixture.RecordedCaller;
import dev.apricotmill.node.relay.RelayFixture.SentExchange;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Guards against a relay that answers nobody while a server sends bytes in small pieces. */
final class SmallPiecesTest {

  /** What a request may wait for its final answer, at most, after the time limit of its route. */
  private static final Duration MAX_DELAY = Duration.ofMillis(500);

  private static final String PIECE = "x".repeat(64);
  private static final int MAX_EVENT_BYTES = (1 << 20) + PIECE.length();

  /** What may wait for the relay of one response: the window of a caller that reads slowly. */
  private static final int MAX_WAITING_BYTES = FlowControlWindow.MAX_UNREAD_BYTES;

  private static final String COMMENT = ":\n\n";

  private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

  private final RelayFixture relay = new RelayFixture(2);

  @Test
  void anEventWithoutEndDoesNotKeepTheRelayBusy() {
    relay.accept("/stream/1");
    SentExchange endless = relay.last();
    endless.head(200, false);

    sendEventWithoutEnd(endless);

    assertThat(endless.cancelled()).isTrue();
  }

  @Test
  void anEventWithoutEndOfAStandbyDoesNotKeepTheRelayBusy() {
    relay.accept("/stream/1");
    SentExchange silent = relay.last();
    silent.head(200, false);
    silent.body("id: 1\n\n");
    for (int i = 0; i < 20 && relay.sent().size() < 2; i++) {
      relay.time().advance(Duration.ofMillis(100));
    }
    SentExchange standby = relay.last();
    assertThat(standby).isNotSameInstanceAs(silent);
    standby.head(200, false);

    sendEventWithoutEnd(standby);

    assertThat(standby.cancelled()).isTrue();
  }

  /** Other requests would wait until the relay has handled all that has arrived. */
  @Test
  void aServerThatWritesFasterThanTheRelayReadsIsHeldBack() {
    for (String path : new String[] {"/stream/1", "/read/1"}) {
      relay.accept(path);
      SentExchange fast = relay.last();
      fast.head(200, false);

      fillQueue(fast);
      relay.time().runDue();

      assertThat(fast.readingPaused()).isFalse();
    }
  }

  @Test
  void aServerIsHeldBackAsOftenAsItWritesTooFast() {
    relay.accept("/read/1");
    SentExchange fast = relay.last();
    fast.head(200, false);

    for (int i = 0; i < 3; i++) {
      fillQueue(fast);
      relay.time().runDue();
    }

    assertThat(fast.readingPaused()).isFalse();
  }

  @Test
  void aServerIsNotReadOnWhileItsCallerReadsSlowly() {
    RecordedCaller slow = relay.accept("/stream/1");
    SentExchange fast = relay.last();
    fast.head(200, false);
    fast.body(COMMENT.repeat(1 + FlowControlWindow.MAX_UNREAD_BYTES / COMMENT.length()));
    assertThat(fast.readingPaused()).isTrue();

    fast.body(COMMENT.repeat(MAX_WAITING_BYTES / COMMENT.length()));

    assertThat(fast.readingPaused()).isTrue();
    slow.readChunks(Integer.MAX_VALUE);
    relay.time().runDue();
    assertThat(fast.readingPaused()).isFalse();
  }

  @Test
  void theRestOfARefusalIsReadOn() {
    relay.accept("/order/1");
    SentExchange refusing = relay.last();
    refusing.head(503, true);

    fillQueue(refusing);
    relay.time().runDue();

    assertThat(refusing.readingPaused()).isFalse();
  }

  @Test
  void chunksThatArriveWhileTheRelayIsBusyReachTheCallerInOrder() {
    RecordedCaller caller = relay.accept("/stream/1");
    SentExchange chatty = relay.last();
    chatty.head(200, false);
    StringBuilder expected = new StringBuilder();

    for (int i = 1; i <= 100; i++) {
      String event = "id: " + i + "\n\n";
      chatty.arrive(event);
      expected.append(event);
    }
    chatty.end();

    assertThat(caller.body()).isEqualTo(expected.toString());
    assertThat(caller.ended()).isTrue();
    assertThat(relay.bufferedBytes()).isEqualTo(0);
  }

  /** Sends to the relay, which is busy, until the server is held back. */
  private static void fillQueue(SentExchange exchange) {
    int sent = 0;
    do {
      exchange.arrive(COMMENT);
      sent += COMMENT.length();
      assertWithMessage("bytes that wait").that(sent).isAtMost(MAX_WAITING_BYTES);
    } while (!exchange.readingPaused());
  }

  private static void sendEventWithoutEnd(SentExchange exchange) {
    long began = THREADS.getCurrentThreadCpuTime();
    for (int sent = 0; !exchange.cancelled(); sent += PIECE.length()) {
      assertWithMessage("bytes of an event").that(sent).isAtMost(MAX_EVENT_BYTES);
      exchange.body(PIECE);
      assertWithMessage("processor time in nanoseconds for %s bytes", sent)
          .that(THREADS.getCurrentThreadCpuTime() - began)
          .isAtMost(MAX_DELAY.toNanos());
    }
  }
}
