package dev.apricotmill.core.peer;

import dev.apricotmill.core.engine.TokenChunk;
import dev.apricotmill.core.steward.ReplicaLoad;

/** Receives the response to a forwarded request; {@link #onEnd} is called last and exactly once. */
public interface ForwardListener {

  /** Receives the next chunk. */
  void onChunk(TokenChunk chunk);

  /**
   * Receives the replica's load, which the steward sends with some chunks of a response.
   *
   * @param load the load at the time of sending
   */
  default void onLoad(ReplicaLoad load) {}

  /** Receives the end of the response. */
  void onEnd(ForwardEnd end);
}
