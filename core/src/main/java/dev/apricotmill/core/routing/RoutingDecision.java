package dev.apricotmill.core.routing;

import dev.apricotmill.core.outcome.RefusalReason;
import java.time.Duration;

/** Where a request goes. */
public sealed interface RoutingDecision {

  /**
   * To a replica, through its steward.
   *
   * @param target the replica
   * @param cause what decided
   */
  record Forward(ReplicaView target, Cause cause) implements RoutingDecision {}

  /**
   * Nowhere: refused, not run.
   *
   * @param reason why
   * @param retryAfter when to come back
   */
  record Refuse(RefusalReason reason, Duration retryAfter) implements RoutingDecision {}

  /** What decided the choice of a replica. */
  enum Cause {
    /** The replica may have the prompt's prefix cached. */
    PREFIX_AFFINITY,
    /** The less loaded of two random choices in the zone. */
    LOWER_LOAD,
    /** No replica of the own zone can serve it in time. */
    SPILL
  }
}
