package dev.apricotmill.core.peer;

import dev.apricotmill.core.engine.TokenChunk;
import dev.apricotmill.core.steward.ReplicaLoad;

/** Receives the answer to a forwarded request; {@link #onEnd} is the last call and comes once. */
public interface ForwardListener {

  /** Takes the next chunk. */
  void onChunk(TokenChunk chunk);

  /**
   * Takes the replica's load, which comes with the chunks of an answer now and then.
   *
   * @param load the load when the steward sent it
   */
  default void onLoad(ReplicaLoad load) {}

  /** Takes the end. */
  void onEnd(ForwardEnd end);
}
