package dev.apricotmill.node.api;

import java.util.concurrent.CompletionStage;
import java.util.concurrent.Flow;

/** Accepts callers' requests. Thread-safe. */
public interface RequestEntry {

  /**
   * Submits a request for generated text. The listener receives no more chunks than were requested
   * on the subscription. Cancelling the subscription means that the caller disconnected.
   */
  Flow.Subscription generate(GenerationSubmission submission, GenerationResponseListener listener);

  /** Calls a plain service. The stage completes normally within the time limit. */
  CompletionStage<CallResponse> call(CallSubmission submission);
}
