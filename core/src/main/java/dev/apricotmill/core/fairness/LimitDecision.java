package dev.apricotmill.core.fairness;

import java.time.Duration;

/** Whether a customer's limits allow a request. */
public sealed interface LimitDecision {

  /** The request is counted; {@link CustomerLimiter#release} must follow its end. */
  record Allowed() implements LimitDecision {}

  /**
   * The customer is over one of its limits; nothing was counted.
   *
   * @param retryAfter when to come back
   */
  record Limited(Duration retryAfter) implements LimitDecision {}
}
