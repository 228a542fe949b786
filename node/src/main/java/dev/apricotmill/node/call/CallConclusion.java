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
record CallConclusion(
    Outcome outcome,
    Optional<CallResult.Response> response,
    boolean replayed,
    ImmutableList<String> replicas) {

  static CallConclusion answered(CallResult.Response response, ImmutableList<String> replicas) {
    return new CallConclusion(
        new Outcome.Answered(response.status()), Optional.of(response), false, replicas);
  }

  static CallConclusion replayed(CallResult.Response response) {
    return new CallConclusion(
        new Outcome.Answered(response.status()), Optional.of(response), true, ImmutableList.of());
  }

  /** The conclusion of a repeat that gets no answer of the first request with its key. */
  static CallConclusion repeated(Outcome outcome) {
    return new CallConclusion(outcome, Optional.empty(), true, ImmutableList.of());
  }

  static CallConclusion without(Outcome outcome, ImmutableList<String> replicas) {
    return new CallConclusion(outcome, Optional.empty(), false, replicas);
  }
}
