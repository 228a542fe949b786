package dev.apricotmill.core.steward;

import dev.apricotmill.core.outcome.RefusalReason;
import dev.apricotmill.core.request.RequestId;
import java.time.Duration;

/** What to do with a request from a steward's queue. */
public sealed interface QueueDecision {

  /** Returns the request. */
  RequestId request();

  /**
   * Dispatch the request now; its memory is reserved.
   *
   * @param request the request
   * @param enginePriority the priority at the engine; a lower number goes first
   */
  record Dispatch(RequestId request, int enginePriority) implements QueueDecision {}

  /**
   * Tell the coordinator of the group that memory for the part is held. The part is dispatched by
   * {@link ReplicaScheduler#commitGroupMember}, or its memory released by {@link
   * ReplicaScheduler#release}.
   *
   * @param request the request
   */
  record Hold(RequestId request) implements QueueDecision {}

  /**
   * Refuse the request now; it has not run and holds no memory.
   *
   * @param request the request
   * @param reason the reason of the refusal
   * @param retryAfter the delay after which the caller may retry
   */
  record Refuse(RequestId request, RefusalReason reason, Duration retryAfter)
      implements QueueDecision {}
}
