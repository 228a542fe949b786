package dev.apricotmill.core.retry;

import dev.apricotmill.coordination.retry.RetryBudget;
import dev.apricotmill.core.outcome.FailureReason;
import dev.apricotmill.core.outcome.Outcome;
import dev.apricotmill.core.request.GenerationRequest;

/**
 * Decides whether a request is retried.
 *
 * <p>Only a request that did not run or may run again is retried, within the retry budget and
 * before its deadline. Attempts never overlap.
 */
public enum RetryDecision {
  /** Retry at another replica. */
  RETRY,
  /** Return the outcome to the caller. */
  GIVE_UP;

  /** The maximum number of attempts per request, the first included. */
  public static final int MAXIMUM_ATTEMPTS = 3;

  /**
   * Returns the decision after a failed or refused attempt.
   *
   * @param outcome the outcome of the last attempt
   * @param request the request
   * @param attempts the number of attempts made so far
   * @param budget the daemon's retry budget, which each retry draws on
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
