package dev.apricotmill.core.engine;

/**
 * Receives the stream of one generation. Calls are sequential; {@link #onEnd} is called last and
 * exactly once.
 */
public interface GenerationListener {

  /** Receives the next chunk. */
  void onChunk(TokenChunk chunk);

  /** Receives the end of the stream. */
  void onEnd(GenerationEnd end);
}
