package dev.apricotmill.core.retry;

import static com.google.common.truth.Truth.assertThat;

import dev.apricotmill.coordination.retry.RetryBudget;
import dev.apricotmill.core.outcome.FailureReason;
import dev.apricotmill.core.outcome.Outcome;
import dev.apricotmill.core.outcome.RefusalReason;
import dev.apricotmill.core.outcome.UnknownReason;
import dev.apricotmill.core.request.GenerationRequest;
import dev.apricotmill.core.steward.Requests;
import java.time.Duration;
import org.junit.jupiter.api.Test;

class RetryDecisionTest {

  private static final Outcome REFUSED =
      new Outcome.Refused(RefusalReason.REFUSED_BY_BACKEND, Duration.ZERO);
  private static final Outcome BROKEN = new Outcome.Failed(FailureReason.STREAM_BROKEN);
  private static final Outcome UNKNOWN = new Outcome.Unknown(UnknownReason.STEWARD_SILENT);

  private final RetryBudget budget = new RetryBudget(100, 10);
  private final GenerationRequest repeatable = Requests.request("r", 1_000);
  private final GenerationRequest nonRepeatable = nonRepeatable(repeatable);

  @Test
  void aRequestThatDidNotRunIsRetried() {
    assertThat(decide(REFUSED, nonRepeatable, 1, 0)).isEqualTo(RetryDecision.RETRY);
  }

  @Test
  void aRequestThatMayHaveRunIsRetriedOnlyIfIdempotent() {
    assertThat(decide(BROKEN, repeatable, 1, 0)).isEqualTo(RetryDecision.RETRY);
    assertThat(decide(UNKNOWN, repeatable, 1, 0)).isEqualTo(RetryDecision.RETRY);
    assertThat(decide(BROKEN, nonRepeatable, 1, 0)).isEqualTo(RetryDecision.GIVE_UP);
    assertThat(decide(UNKNOWN, nonRepeatable, 1, 0)).isEqualTo(RetryDecision.GIVE_UP);
  }

  @Test
  void aRequestThatCannotSucceedIsNotRetried() {
    Outcome never = new Outcome.Refused(RefusalReason.NEVER_FITS, Duration.ZERO);
    assertThat(decide(never, repeatable, 1, 0)).isEqualTo(RetryDecision.GIVE_UP);
    assertThat(decide(new Outcome.Answered(200), repeatable, 1, 0))
        .isEqualTo(RetryDecision.GIVE_UP);
  }

  @Test
  void attemptsAndTimeAreBounded() {
    assertThat(decide(REFUSED, repeatable, RetryDecision.MAXIMUM_ATTEMPTS, 0))
        .isEqualTo(RetryDecision.GIVE_UP);
    assertThat(decide(REFUSED, repeatable, 1, repeatable.deadline().atNanos()))
        .isEqualTo(RetryDecision.GIVE_UP);
  }

  @Test
  void retriesStayAtATenthOfTheRequests() {
    int retries = 0;
    for (int number = 0; number < 10_000; number++) {
      budget.onRequest();
      if (decide(REFUSED, repeatable, 1, 0) == RetryDecision.RETRY) {
        retries++;
      }
    }
    assertThat(retries).isAtLeast(1_000);
    assertThat(retries).isAtMost(1_010);
  }

  private RetryDecision decide(Outcome outcome, GenerationRequest request, int attempts, long now) {
    return RetryDecision.of(outcome, request, attempts, budget, now);
  }

  private static GenerationRequest nonRepeatable(GenerationRequest request) {
    return new GenerationRequest(
        request.id(),
        request.customer(),
        request.service(),
        request.prompt(),
        request.promptTokens(),
        request.maximumOutputTokens(),
        request.priority(),
        request.weight(),
        request.prefix(),
        false,
        request.deadline());
  }
}
