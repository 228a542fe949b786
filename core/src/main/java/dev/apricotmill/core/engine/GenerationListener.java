package dev.apricotmill.core.engine;

/** Receives a stream. Calls come one after another; {@link #onEnd} is the last and comes once. */
public interface GenerationListener {

  /** Takes the next chunk. */
  void onChunk(TokenChunk chunk);

  /** Takes the end of the stream. */
  void onEnd(GenerationEnd end);
}
