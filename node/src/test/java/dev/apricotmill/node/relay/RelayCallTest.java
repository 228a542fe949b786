package dev.apricotmill.node.relay;

import static com.google.common.truth.Truth.assertThat;

import dev.apricotmill.core.relay.RelayRefusal;
import dev.apricotmill.node.relay.RelayFixture.RecordedCaller;
import dev.apricotmill.node.relay.RelayFixture.SentExchange;
import java.time.Duration;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

final class RelayCallTest {

  private static final int RETRIES = 2;
  private final RelayFixture relay = new RelayFixture(RETRIES);

  @Test
  void aWholeAnswerIsPassedOnUnchanged() {
    RecordedCaller caller = relay.accept("/order/1");

    relay.last().head(200, false);
    relay.last().body("done");
    assertThat(caller.status()).isEqualTo(0);
    relay.last().end();

    assertThat(caller.status()).isEqualTo(200);
    assertThat(caller.body()).isEqualTo("done");
    assertThat(caller.headers()).containsEntry("from", relay.last().send().server().id().value());
    assertThat(relay.node().openRequests()).isEqualTo(0);
  }

  @Test
  void anOrderWhoseConnectionBreaksIsNeverSentAgain() {
    RecordedCaller caller = relay.accept("/order/1");

    relay.last().fail(true);

    assertThat(relay.sent()).hasSize(1);
    assertThat(caller.refusal()).isEqualTo(RelayRefusal.BROKEN);
    assertThat(RelayRefusal.BROKEN.guaranteesNotRun()).isFalse();
  }

  @Test
  void anOrderThatNeverLeftGoesToAnotherServer() {
    RecordedCaller caller = relay.accept("/order/1");
    String first = relay.last().send().server().id().value();

    relay.last().fail(false);

    assertThat(relay.sent()).hasSize(2);
    assertThat(relay.last().send().server().id().value()).isNotEqualTo(first);
    assertThat(caller.refusal()).isNull();
  }

  @Test
  void anOrderThatItsServerDidNotRunIsRefusedAsNotRun() {
    RecordedCaller caller = relay.accept("/order/1");

    relay.last().head(503, true);

    assertThat(relay.sent()).hasSize(1);
    assertThat(caller.refusal()).isEqualTo(RelayRefusal.REFUSED_BY_SERVER);
  }

  @Test
  void anOrderThatIsNotAnsweredInTimeMayHaveRun() {
    RecordedCaller caller = relay.accept("/order/1");

    relay.time().advance(Duration.ofMillis(3_001));

    assertThat(caller.refusal()).isEqualTo(RelayRefusal.EXPIRED);
    assertThat(relay.last().cancelled()).isTrue();
  }

  @Test
  void aReadIsSentAgainAfterABreakAndAfterAServersError() {
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
  void aServersErrorIsPassedOnWhereNoOtherServerDoesBetter() {
    RecordedCaller caller = relay.accept("/read/1");
    relay.last().head(500, false);
    relay.last().body("error");
    relay.last().end();

    relay.last().fail(true);

    assertThat(caller.status()).isEqualTo(500);
    assertThat(caller.body()).isEqualTo("error");
  }

  @Test
  void noMoreRetriesAreMadeThanTheBudgetHolds() {
    for (int i = 0; i <= RETRIES; i++) {
      relay.accept("/read/1");
      relay.last().fail(true);
    }

    assertThat(relay.sent()).hasSize(RETRIES + 1 + RETRIES);
  }

  @Test
  void noRequestIsSentToMoreServersThanItsRouteAllows() {
    RecordedCaller caller = relay.accept("/read/1");
    relay.last().fail(true);

    relay.last().fail(true);

    assertThat(relay.sent()).hasSize(2);
    assertThat(caller.refusal()).isEqualTo(RelayRefusal.BROKEN);
  }

  @Test
  void aStreamThatBreaksWithinAnEventGoesOnAtAnotherServer() {
    RecordedCaller caller = relay.accept("/stream/1");
    SentExchange first = relay.last();
    first.head(200, false);
    first.body("id: 1\ndata: a\n\nid: 2\ndata: b");

    first.fail(true);

    SentExchange second = relay.last();
    assertThat(second.send().resumeAfter()).isEqualTo(OptionalLong.of(1));
    assertThat(second.send().server()).isNotEqualTo(first.send().server());
    second.head(200, false);
    second.body("id: 2\ndata: b\n\n");
    second.end();
    assertThat(caller.body()).isEqualTo("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    assertThat(caller.headers()).containsEntry("from", first.send().server().id().value());
    assertThat(caller.ended()).isTrue();
  }

  @Test
  void aStreamThatMayNotRunTwiceIsBrokenOffWhereItsServerBreaksOff() {
    RecordedCaller caller = relay.accept("/once/1");
    relay.last().head(200, false);
    relay.last().body("id: 1\n\n");

    relay.last().fail(true);

    assertThat(relay.sent()).hasSize(1);
    assertThat(caller.aborted()).isTrue();
    assertThat(caller.ended()).isFalse();
  }

  @Test
  void aStreamThatEndsWithinAnEventIsNotWhole() {
    RecordedCaller caller = relay.accept("/once/1");
    relay.last().head(200, false);
    relay.last().body("id: 1\n\nid: 2\n");

    relay.last().end();

    assertThat(caller.aborted()).isTrue();
    assertThat(caller.ended()).isFalse();
  }

  @Test
  void aSilentServerLosesAStreamToAnotherOne() {
    relay.accept("/stream/1");

    relay.time().advance(Duration.ofMillis(1_800));

    assertThat(relay.sent()).hasSize(2);
    assertThat(relay.sent().get(0).cancelled()).isTrue();
  }

  @Test
  void reportsOfASendThatWasGivenUpCountNoMore() {
    RecordedCaller caller = relay.accept("/stream/1");
    SentExchange first = relay.last();
    relay.time().advance(Duration.ofMillis(1_800));

    first.head(200, false);
    first.body("id: 1\n\n");
    first.end();

    assertThat(caller.status()).isEqualTo(0);
  }

  @Test
  void theGoingOfACallerClosesTheConnectionToTheServer() {
    RecordedCaller caller = relay.accept("/stream/1");

    caller.leave();
    relay.time().runDue();

    assertThat(relay.last().cancelled()).isTrue();
    assertThat(relay.node().openRequests()).isEqualTo(0);
  }

  @Test
  void aRefusalThatBlamesAHelperLeavesTheServerThatRefusedInUse() {
    relay.accept("/stream/1");
    SentExchange first = relay.last();
    first.blame(first.send().server().id().value().equals("pool1") ? "pool2" : "pool1");

    first.head(503, true);

    assertThat(relay.last().send().server()).isEqualTo(first.send().server());
    assertThat(relay.sent()).hasSize(2);
  }

  @Test
  void theTimeThatIsLeftShrinksFromSendToSend() {
    relay.accept("/read/1");
    relay.time().advance(Duration.ofMillis(500));
    relay.last().fail(true);

    assertThat(relay.last().send().left()).isEqualTo(Duration.ofMillis(2_500));
  }

  @Test
  void anAnswerThatNeverComesWholeEndsWithoutAnAnswerOfAnother() {
    RecordedCaller caller = relay.accept("/order/1");
    relay.last().head(200, false);
    relay.last().body("half");

    relay.last().fail(true);

    assertThat(caller.refusal()).isEqualTo(RelayRefusal.BROKEN);
    assertThat(caller.body()).isEmpty();
  }

  @Test
  void aServerIsNotReadFasterThanItsCallerReads() {
    RecordedCaller caller = relay.accept("/stream/1");
    relay.last().head(200, false);
    String event = "id: %d\ndata: " + "x".repeat(CallerWindow.MOST_UNREAD_BYTES / 2) + "\n\n";

    relay.last().body(String.format(event, 1));
    assertThat(relay.last().held()).isFalse();
    relay.last().body(String.format(event, 2));
    assertThat(relay.last().held()).isTrue();

    caller.take(1);
    relay.time().runDue();
    assertThat(relay.last().held()).isFalse();
  }

  @Test
  void aServerThatIsHeldBackIsNotTakenForSilent() {
    RecordedCaller caller = relay.accept("/stream/1");
    relay.last().head(200, false);
    relay.last().body("id: 1\ndata: " + "x".repeat(CallerWindow.MOST_UNREAD_BYTES) + "\n\n");

    relay.time().advance(Duration.ofMillis(2_500));
    assertThat(relay.sent()).hasSize(1);

    caller.take(1);
    relay.time().runDue();
    relay.last().body("id: 2\ndata: y\n\n");
    relay.last().end();
    assertThat(caller.ended()).isTrue();
  }

  @Test
  void aWholeAnswerThatNoNodeCanKeepIsABrokenOne() {
    RecordedCaller caller = relay.accept("/order/1");
    relay.last().head(200, false);
    String piece = "x".repeat(1 << 20);

    for (int i = 0; i < 9; i++) {
      relay.last().body(piece);
    }

    assertThat(caller.refusal()).isEqualTo(RelayRefusal.BROKEN);
    assertThat(relay.last().cancelled()).isTrue();
  }

  @Test
  void aStreamThatASecondServerFailsToContinueDoesNotLookComplete() {
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
}
