package dev.apricotmill.core.retry;

import dev.apricotmill.coordination.retry.RetryBudget;
import dev.apricotmill.core.outcome.FailureReason;
import dev.apricotmill.core.outcome.Outcome;
import dev.apricotmill.core.request.GenerationRequest;

/**
 * Decides whether a request is tried once more.
 *
 * <p>Only what did not run, or may run again, is repeated; within the budget and the remaining
 * time, one attempt after the other and never two at once.
 */
public enum RetryDecision {
  /** Try again at another replica. */
  RETRY,
  /** Give the outcome to the caller. */
  GIVE_UP;

  /** The most forwards of one request. */
  public static final int MAXIMUM_ATTEMPTS = 3;

  /**
   * Decides.
   *
   * @param outcome what became of the last attempt
   * @param request the request
   * @param attempts the attempts made so far
   * @param budget the daemon's budget, from which a repeat is taken
   * @param nowNanos the monotonic time
   */
  public static RetryDecision of(
      Outcome outcome, GenerationRequest request, int attempts, RetryBudget budget, long nowNanos) {
    if (attempts >= MAXIMUM_ATTEMPTS || request.deadline().hasPassed(nowNanos)) {
      return GIVE_UP;
    }
    return isRetryable(outcome, request) && budget.tryTake() ? RETRY : GIVE_UP;
  }

  private static boolean isRetryable(Outcome outcome, GenerationRequest request) {
    if (outcome instanceof Outcome.Refused refused) {
      return refused.reason().retryable();
    }
    if (outcome instanceof Outcome.Failed failed) {
      return request.repeatable()
          && failed.reason() != FailureReason.TIMED_OUT
          && failed.reason() != FailureReason.CALLER_GONE;
    }
    return outcome instanceof Outcome.Unknown && request.repeatable();
  }
}
