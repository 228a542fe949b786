package dev.apricotmill.core.engine;

import java.time.Duration;

/** How a stream from an engine ended. Exactly one end is reported for each start. */
public sealed interface GenerationEnd {

  /**
   * The engine marked the end of the answer.
   *
   * @param reason why it ended there
   * @param promptTokens the engine's own count of the prompt
   * @param outputTokens the engine's own count of the answer
   */
  record Finished(FinishReason reason, long promptTokens, long outputTokens)
      implements GenerationEnd {}

  /**
   * The engine, or the connection to it, refused before anything could start.
   *
   * @param reason why
   * @param retryAfter when the engine may take it, zero if unknown
   */
  record NotStarted(EngineRefusal reason, Duration retryAfter) implements GenerationEnd {}

  /**
   * The stream broke after the request may have started.
   *
   * @param failure what happened
   */
  record Broken(EngineFailure failure) implements GenerationEnd {}

  /** Why an answer ended. */
  enum FinishReason {
    /** The model ended its answer. */
    STOP,
    /** The most tokens were generated. */
    LENGTH
  }
}
