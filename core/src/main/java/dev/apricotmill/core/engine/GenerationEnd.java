package dev.apricotmill.core.engine;

import java.time.Duration;

/** How a stream from an engine ended. Exactly one end is reported for each start. */
public sealed interface GenerationEnd {

  /**
   * The output is complete: the engine marked its end.
   *
   * @param reason why the output ended
   * @param promptTokens prompt tokens as counted by the engine
   * @param outputTokens output tokens as counted by the engine
   */
  record Finished(FinishReason reason, long promptTokens, long outputTokens)
      implements GenerationEnd {}

  /**
   * Nothing was started: the engine refused the request or could not be reached.
   *
   * @param reason why nothing was started
   * @param retryAfter time after which the engine may accept the request, zero if unknown
   */
  record NotStarted(EngineRefusal reason, Duration retryAfter) implements GenerationEnd {}

  /**
   * The stream failed after the request may have started.
   *
   * @param failure what happened
   */
  record Broken(EngineFailure failure) implements GenerationEnd {}

  /** Why the output ended. */
  enum FinishReason {
    /** The model ended its output. */
    STOP,
    /** The maximum number of tokens was generated. */
    LENGTH
  }
}
