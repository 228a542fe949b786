package dev.apricotmill.core.peer;

import dev.apricotmill.core.engine.TokenChunk;

/** Receives the answer to a forwarded request; {@link #onEnd} is the last call and comes once. */
public interface ForwardListener {

  /** Takes the next chunk. */
  void onChunk(TokenChunk chunk);

  /** Takes the end. */
  void onEnd(ForwardEnd end);
}
