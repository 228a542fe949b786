package dev.apricotmill.testhelpers.demo;

import java.time.Duration;
import java.util.Optional;

/**
 * What a caller saw of one request.
 *
 * @param status the HTTP status, zero if no answer began
 * @param outcome the outcome that the daemon told, empty if the connection broke before
 * @param text the generated text, or the body of a whole answer
 * @param replayed whether the answer was that of an earlier request with the same key
 * @param requestId the request's identifier, empty if none came
 * @param hops the processes that the request passed
 * @param firstToken the time to the first piece of the answer, if one came
 * @param total the time to the end
 */
record CallResult(
    int status,
    String outcome,
    String text,
    boolean replayed,
    String requestId,
    String hops,
    Optional<Duration> firstToken,
    Duration total) {

  static final String ANSWERED = "answered";
  static final String NOT_RUN = "not-run";

  boolean isAnswered() {
    return outcome.equals(ANSWERED);
  }

  /** Returns whether the caller was told nothing, because its connection broke. */
  boolean isBroken() {
    return outcome.isEmpty();
  }
}
