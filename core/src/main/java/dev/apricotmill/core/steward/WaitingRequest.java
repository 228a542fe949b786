package dev.apricotmill.core.steward;

import dev.apricotmill.core.length.LengthClass;
import dev.apricotmill.core.request.GenerationRequest;

/**
 * A request in a steward's queue.
 *
 * @param request the request
 * @param kind what a turn of the queue means for it
 * @param queuedAtNanos when it came
 * @param agingThresholdNanos how long it waits before it is put ahead
 * @param predictedFirstTokenSeconds the time to first token that was predicted
 */
record WaitingRequest(
    GenerationRequest request,
    Kind kind,
    long queuedAtNanos,
    long agingThresholdNanos,
    double predictedFirstTokenSeconds) {

  /** Returns the request's length class. */
  LengthClass lengthClass() {
    return LengthClass.of(request.promptTokens());
  }

  /** Returns whether it waited as long as it should at most. */
  boolean isAged(long nowNanos) {
    return nowNanos - queuedAtNanos >= agingThresholdNanos;
  }

  /** What a turn of the queue means. */
  enum Kind {
    /** The whole prompt is dispatched. */
    WHOLE,
    /** Memory for one part of a prompt is held until the other engines hold theirs. */
    GROUP_MEMBER
  }
}
