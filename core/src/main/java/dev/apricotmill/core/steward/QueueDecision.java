package dev.apricotmill.core.steward;

import dev.apricotmill.core.outcome.RefusalReason;
import dev.apricotmill.core.request.RequestId;
import java.time.Duration;

/** What to do with a request that waited at a steward. */
public sealed interface QueueDecision {

  /** Returns the request. */
  RequestId request();

  /**
   * Dispatch it now; its memory is reserved.
   *
   * @param request the request
   * @param enginePriority the priority at the engine, a lower number goes first
   */
  record Dispatch(RequestId request, int enginePriority) implements QueueDecision {}

  /**
   * Tell the coordinator of its group that memory for its part is held. It is dispatched after
   * {@link ReplicaScheduler#commitGroupMember}, or given back by {@link ReplicaScheduler#release}.
   *
   * @param request the request
   */
  record Hold(RequestId request) implements QueueDecision {}

  /**
   * Refuse it now; it has not run and holds no memory.
   *
   * @param request the request
   * @param reason why
   * @param retryAfter when to come back
   */
  record Refuse(RequestId request, RefusalReason reason, Duration retryAfter)
      implements QueueDecision {}
}
