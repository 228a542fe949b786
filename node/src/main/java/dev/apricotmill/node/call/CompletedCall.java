package dev.apricotmill.node.call;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.core.outcome.Outcome;
import dev.apricotmill.core.service.CallResult;
import java.util.Optional;

/**
 * The result of a call.
 *
 * @param outcome the outcome
 * @param response the service's response, present if the outcome is answered
 * @param replayed whether this is the result of an earlier call with the same key
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

  /** The result of a repeat for which no response of the first call with its key is available. */
  static CompletedCall repeatWithoutResponse(Outcome outcome) {
    return new CompletedCall(outcome, Optional.empty(), true, ImmutableList.of());
  }

  static CompletedCall withoutResponse(Outcome outcome, ImmutableList<String> replicas) {
    return new CompletedCall(outcome, Optional.empty(), false, replicas);
  }
}
