package dev.apricotmill.core.engine;

import dev.apricotmill.core.request.RequestId;

/**
 * Consecutive output tokens of a sequence.
 *
 * @param request the request that the tokens belong to
 * @param position position of the first token in the output, from zero
 * @param tokens number of tokens, at least 1
 * @param text the text of the tokens
 */
public record TokenChunk(RequestId request, long position, int tokens, String text) {

  /** Returns the position of the token after the chunk. */
  public long endPosition() {
    return position + tokens;
  }
}
