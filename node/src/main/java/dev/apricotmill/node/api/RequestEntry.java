package dev.apricotmill.node.api;

import java.util.concurrent.CompletionStage;
import java.util.concurrent.Flow;

/** Takes callers' requests. Safe for use by several threads. */
public interface RequestEntry {

  /**
   * Submits a request for generated text. No more chunks than requested on the subscription are
   * passed to the listener; cancelling it means that the caller went away.
   */
  Flow.Subscription generate(GenerationSubmission submission, GenerationResponseListener listener);

  /** Calls a plain service. The stage completes normally within the request's time. */
  CompletionStage<CallResponse> call(CallSubmission submission);
}
