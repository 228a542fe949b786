package dev.apricotmill.node.relay;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import dev.apricotmill.core.relay.RelayRefusal;
import dev.apricotmill.node.relay.RelayFixture.RecordedCaller;
import dev.apricotmill.node.relay.RelayFixture.SentExchange;
import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Answers that have no end, or that come too slowly to ever have one. */
final class UnsoundAnswersTest {

  /** What an answer may hold in memory before it is given up: a whole one, and its next piece. */
  private static final int MOST_HELD_BYTES = (8 << 20) + (64 << 10);

  private static final String PIECE = "x".repeat(64 << 10);

  private final RelayFixture relay = new RelayFixture(2);

  @Test
  void anEventWithoutEndIsGivenUpAndTheStreamGoesOnElsewhere() {
    RecordedCaller caller = relay.accept("/stream/1");
    SentExchange endless = relay.last();
    endless.head(200, false);
    endless.body("id: 1\ndata: a\n\nid: 2\ndata: ");

    sendWithoutEnd(endless);

    assertThat(endless.cancelled()).isTrue();
    SentExchange second = relay.last();
    assertThat(second.send().server()).isNotEqualTo(endless.send().server());
    second.head(200, false);
    second.body("id: 2\ndata: b\n\n");
    second.end();
    assertThat(caller.body()).isEqualTo("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  }

  @Test
  void anEventWithoutEndOfWhatMayNotRunTwiceBreaksTheConnection() {
    RecordedCaller caller = relay.accept("/once/1");
    relay.last().head(200, false);
    relay.last().body("id: 1\n\n");

    sendWithoutEnd(relay.last());

    assertThat(relay.sent()).hasSize(1);
    assertThat(caller.aborted()).isTrue();
    assertThat(caller.ended()).isFalse();
  }

  @Test
  void anAnswerWithoutEndToAnOrderIsNotSaidNotToHaveRun() {
    RecordedCaller caller = relay.accept("/order/1");
    relay.last().head(200, false);

    sendWithoutEnd(relay.last());

    assertThat(relay.sent()).hasSize(1);
    assertThat(caller.refusal()).isEqualTo(RelayRefusal.BROKEN);
    assertThat(RelayRefusal.BROKEN.guaranteesNotRun()).isFalse();
  }

  @Test
  void aStreamThatSendsAByteNowAndThenIsGivenUpLikeASilentOne() {
    relay.accept("/stream/1");
    SentExchange trickling = relay.last();
    trickling.head(200, false);
    trickling.body("id: 1\n\n");

    for (int i = 0; i < 20 && !trickling.cancelled(); i++) {
      trickling.body("x");
      relay.time().advance(Duration.ofMillis(100));
    }

    assertThat(trickling.cancelled()).isTrue();
    assertThat(relay.sent()).hasSize(2);
  }

  @Test
  void aSlowButSoundStreamIsNotCut() {
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

  private static void sendWithoutEnd(SentExchange exchange) {
    for (int sent = 0; !exchange.cancelled(); sent += PIECE.length()) {
      assertWithMessage("bytes that an answer without end was read for")
          .that(sent)
          .isAtMost(MOST_HELD_BYTES);
      exchange.body(PIECE);
    }
  }
}
