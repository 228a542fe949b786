package dev.apricotmill.core.peer;

import dev.apricotmill.core.engine.GenerationEnd;
import dev.apricotmill.core.outcome.Outcome;
import dev.apricotmill.core.steward.ReplicaLoad;

/** How a forwarded request ended, as the entry daemon sees it. */
public sealed interface ForwardEnd {

  /**
   * The steward reported a final outcome.
   *
   * @param outcome the outcome
   * @param usage the engine's token counts, zero if the request did not run
   * @param load the replica's load when the outcome was sent
   */
  record Reported(Outcome outcome, Usage usage, ReplicaLoad load) implements ForwardEnd {}

  /** No byte of the request was sent to the steward. */
  record NotSent() implements ForwardEnd {}

  /** The steward stopped answering after the request may have reached it. */
  record Lost() implements ForwardEnd {}

  /**
   * Token counts as reported by the engine.
   *
   * @param promptTokens tokens of the prompt
   * @param outputTokens tokens of the output
   * @param finishReason why the output ended
   */
  record Usage(long promptTokens, long outputTokens, GenerationEnd.FinishReason finishReason) {

    /** Counts of a request that did not run. */
    public static final Usage NONE = new Usage(0, 0, GenerationEnd.FinishReason.STOP);
  }
}
