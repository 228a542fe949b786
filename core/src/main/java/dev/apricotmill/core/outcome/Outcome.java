package dev.apricotmill.core.outcome;

import java.time.Duration;

/** What became of a request. Exactly one outcome is final for each admitted request. */
public sealed interface Outcome {

  /**
   * The back end ran the request and its whole answer was passed on.
   *
   * @param status the HTTP status of the back end's answer
   */
  record Answered(int status) implements Outcome {}

  /**
   * The request was not run: no byte that could start it left, or the back end said so itself.
   *
   * @param reason why
   * @param retryAfter when to come back, zero if a repeat cannot help
   */
  record Refused(RefusalReason reason, Duration retryAfter) implements Outcome {}

  /**
   * The request failed after it may have started.
   *
   * @param reason what happened
   */
  record Failed(FailureReason reason) implements Outcome {}

  /**
   * It cannot be known whether the request ran.
   *
   * @param reason what was lost
   */
  record Unknown(UnknownReason reason) implements Outcome {}

  /** Returns whether the request certainly did not run. */
  default boolean isNotRun() {
    return this instanceof Refused;
  }

  /** Returns the name that callers see in the outcome header. */
  default String headerValue() {
    if (this instanceof Answered) {
      return "answered";
    }
    if (this instanceof Refused) {
      return "not-run";
    }
    return this instanceof Failed ? "failed-may-have-run" : "unknown-may-have-run";
  }
}
