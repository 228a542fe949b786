package dev.apricotmill.benchmarks.policy;

import dev.apricotmill.benchmarks.fleet.EngineSequence;
import dev.apricotmill.core.outcome.RefusalReason;
import java.time.Duration;

/** The entry daemon's side of one request at one steward. */
interface StewardClient {

  /** Returns the entry daemon. */
  int daemon();

  /** Returns what the engine is to run. */
  EngineSequence sequence(String id, int priority, EngineSequence.Listener listener);

  /** The steward queued the request. */
  void onAdmitted();

  /** The steward holds memory for this part of the prompt. */
  void onHeld();

  /** The request did not run. */
  void onRefused(RefusalReason reason, Duration retryAfter);

  /** The first token came. */
  void onFirstToken(long promptTokens);

  /** The whole answer came. */
  void onFinished();

  /** The engine died under the request. */
  void onBroken();

  /** The steward died under the request. */
  void onLost();
}
