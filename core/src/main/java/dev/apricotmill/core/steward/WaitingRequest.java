package dev.apricotmill.core.steward;

import dev.apricotmill.core.length.LengthClass;
import dev.apricotmill.core.request.GenerationRequest;

/**
 * A request in a steward's queue.
 *
 * @param request the request
 * @param kind what is dispatched when the request is next in the queue
 * @param queuedAtNanos when the request was queued
 * @param agingThresholdNanos the wait after which the request counts as aged and moves ahead
 * @param predictedFirstTokenSeconds the time to first token predicted at admission, in seconds
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

  /** Returns whether the request has waited for at least its aging threshold. */
  boolean isAged(long nowNanos) {
    return nowNanos - queuedAtNanos >= agingThresholdNanos;
  }

  /** What is dispatched when a request is next in the queue. */
  enum Kind {
    /** The whole prompt. */
    WHOLE,
    /** One part of a prompt, whose memory is held until the other engines hold theirs. */
    GROUP_MEMBER
  }
}
