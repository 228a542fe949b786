package dev.apricotmill.daemon.inner;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

import dev.apricotmill.core.outcome.Outcome;
import dev.apricotmill.protocol.generated.Answered;
import org.junit.jupiter.api.Test;

/** Guards against another node's answer whose status no response may have. */
final class OutcomeMessagesTest {

  @Test
  void anAnsweredOutcomeRoundTrips() throws Exception {
    for (int status : new int[] {200, 204, 429, 599}) {
      Outcome outcome = new Outcome.Answered(status);

      assertThat(OutcomeMessages.fromMessage(OutcomeMessages.toMessage(outcome)))
          .isEqualTo(outcome);
    }
  }

  @Test
  void anAnsweredOutcomeWithAStatusOfNoFinalResponseIsMalformed() {
    for (int status : new int[] {0, 1, 99, 100, 101, 199, 600, 999, Integer.MAX_VALUE, -200}) {
      var message =
          dev.apricotmill.protocol.generated.Outcome.newBuilder()
              .setAnswered(Answered.newBuilder().setStatus(status))
              .build();

      MalformedMessageException thrown =
          assertThrows(MalformedMessageException.class, () -> OutcomeMessages.fromMessage(message));

      assertWithMessage("%s", status).that(thrown).hasMessageThat().contains("status");
    }
  }
}
