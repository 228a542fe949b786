package dev.apricotmill.core.steward;

import dev.apricotmill.core.outcome.RefusalReason;
import java.time.Duration;

/** Whether a steward admits a request to its queue. */
public sealed interface AdmissionDecision {

  /**
   * The request is queued and may be dispatched at the next poll.
   *
   * @param timeToFirstToken the predicted time to its first token
   */
  record Admitted(Duration timeToFirstToken) implements AdmissionDecision {}

  /**
   * The request is refused and has not run.
   *
   * @param reason the reason of the refusal
   * @param retryAfter the delay after which the caller may retry
   */
  record Refused(RefusalReason reason, Duration retryAfter) implements AdmissionDecision {}
}
