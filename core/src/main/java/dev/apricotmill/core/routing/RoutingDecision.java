package dev.apricotmill.core.routing;

import dev.apricotmill.core.outcome.RefusalReason;
import java.time.Duration;

/** The result of routing a request. */
public sealed interface RoutingDecision {

  /**
   * Forward the request to a replica, through its steward.
   *
   * @param target the replica
   * @param cause the criterion that decided the choice
   */
  record Forward(ReplicaView target, Cause cause) implements RoutingDecision {}

  /**
   * Refuse the request; it has not run.
   *
   * @param reason the reason of the refusal
   * @param retryAfter the delay after which the caller may retry
   */
  record Refuse(RefusalReason reason, Duration retryAfter) implements RoutingDecision {}

  /** The criterion that decided the choice of a replica. */
  enum Cause {
    /** The replica may have the prompt's prefix cached. */
    PREFIX_AFFINITY,
    /** The replica has the lowest cost of those examined in the zone. */
    LOWER_LOAD,
    /** The replica is in another zone: the own zone has none, or costs more than twice as much. */
    SPILL
  }
}
