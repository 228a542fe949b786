package dev.apricotmill.core.steward;

import dev.apricotmill.core.outcome.RefusalReason;
import java.time.Duration;

/** Whether a steward takes a request into its queue. */
public sealed interface AdmissionDecision {

  /**
   * The request waits or can be dispatched at once.
   *
   * @param timeToFirstToken the estimated time to its first token
   */
  record Admitted(Duration timeToFirstToken) implements AdmissionDecision {}

  /**
   * The request is refused and has not run.
   *
   * @param reason why
   * @param retryAfter when to come back
   */
  record Refused(RefusalReason reason, Duration retryAfter) implements AdmissionDecision {}
}
