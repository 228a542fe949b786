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
   * @param usage the engine's counts, zero if it did not run
   * @param load the replica's load at that time
   */
  record Reported(Outcome outcome, Usage usage, ReplicaLoad load) implements ForwardEnd {}

  /** No byte of the request left towards the steward. */
  record NotSent() implements ForwardEnd {}

  /** The steward fell silent after the request may have reached it. */
  record Lost() implements ForwardEnd {}

  /**
   * The engine's own counts.
   *
   * @param promptTokens tokens of the prompt
   * @param outputTokens tokens of the answer
   * @param finishReason why the answer ended
   */
  record Usage(long promptTokens, long outputTokens, GenerationEnd.FinishReason finishReason) {

    /** Nothing was counted. */
    public static final Usage NONE = new Usage(0, 0, GenerationEnd.FinishReason.STOP);
  }
}
