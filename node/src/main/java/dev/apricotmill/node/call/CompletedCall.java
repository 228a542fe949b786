package dev.apricotmill.node.call;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.core.outcome.Outcome;
import dev.apricotmill.core.service.CallResult;
import java.util.Optional;

/**
 * How a call ended.
 *
 * @param outcome the outcome
 * @param response the service's answer, present if the outcome is answered
 * @param replayed whether the answer is that of an earlier call with the same key
 * @param replicas the replicas that were tried, in order
 */
record CompletedCall(
    Outcome outcome,
    Optional<CallResult.Response> response,
    boolean replayed,
    ImmutableList<String> replicas) {

  static CompletedCall answered(CallResult.Response response, ImmutableList<String> replicas) {
    return new CompletedCall(
        new Outcome.Answered(response.status()), Optional.of(response), false, replicas);
  }

  static CompletedCall replayed(CallResult.Response response) {
    return new CompletedCall(
        new Outcome.Answered(response.status()), Optional.of(response), true, ImmutableList.of());
  }

  /** The conclusion of a repeat that gets no answer of the first request with its key. */
  static CompletedCall repeatWithoutResponse(Outcome outcome) {
    return new CompletedCall(outcome, Optional.empty(), true, ImmutableList.of());
  }

  static CompletedCall withoutResponse(Outcome outcome, ImmutableList<String> replicas) {
    return new CompletedCall(outcome, Optional.empty(), false, replicas);
  }
}
