package dev.apricotmill.core.outcome;

import java.time.Duration;

/** The outcome of a request. Each admitted request gets exactly one final outcome. */
public sealed interface Outcome {

  /**
   * The back end ran the request and its complete response was forwarded.
   *
   * @param status the HTTP status of the back end's response
   */
  record Answered(int status) implements Outcome {}

  /**
   * The request was not run: no byte that could start it was sent, or the back end reported that it
   * did not run it.
   *
   * @param reason why it was not run
   * @param retryAfter time to wait before a retry, zero if a retry cannot help
   */
  record Refused(RefusalReason reason, Duration retryAfter) implements Outcome {}

  /**
   * The request failed after it may have started.
   *
   * @param reason what happened
   */
  record Failed(FailureReason reason) implements Outcome {}

  /**
   * It is unknown whether the request ran.
   *
   * @param reason why it is unknown
   */
  record Unknown(UnknownReason reason) implements Outcome {}

  /** Returns whether the request certainly did not run. */
  default boolean isNotRun() {
    return this instanceof Refused;
  }

  /** Returns the value of the response header that tells callers the outcome. */
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
