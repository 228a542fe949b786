package dev.apricotmill.node.api;

import dev.apricotmill.core.engine.TokenChunk;

/** Receives the response to a submission; {@link #onEnd} is the last call and is made once. */
public interface GenerationResponseListener {

  /** Receives the next chunk; token positions are contiguous. */
  void onChunk(TokenChunk chunk);

  /** Receives the final outcome. */
  void onEnd(GenerationResponseEnd end);
}
