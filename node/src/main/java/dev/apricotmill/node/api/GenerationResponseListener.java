package dev.apricotmill.node.api;

import dev.apricotmill.core.engine.TokenChunk;

/** Receives the answer to a submission; {@link #onEnd} is the last call and comes once. */
public interface GenerationResponseListener {

  /** Takes the next chunk; positions follow on without gap. */
  void onChunk(TokenChunk chunk);

  /** Takes the final outcome. */
  void onEnd(GenerationResponseEnd end);
}
