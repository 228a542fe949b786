package dev.apricotmill.core.fairness;

import java.time.Duration;

/** Whether a customer's limits allow a request. */
public sealed interface LimitDecision {

  /** The request is counted; {@link CustomerLimiter#release} must be called when it ends. */
  record Allowed() implements LimitDecision {}

  /**
   * The customer exceeds one of its limits; the request is not counted.
   *
   * @param retryAfter the delay after which the customer may retry
   */
  record Limited(Duration retryAfter) implements LimitDecision {}
}
