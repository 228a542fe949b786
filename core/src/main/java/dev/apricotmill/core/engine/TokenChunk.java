package dev.apricotmill.core.engine;

import dev.apricotmill.core.request.RequestId;

/**
 * Some consecutive tokens of an answer.
 *
 * @param request the request that they answer
 * @param position the position of the first of them in the answer, from zero
 * @param tokens how many they are, at least 1
 * @param text their text
 */
public record TokenChunk(RequestId request, long position, int tokens, String text) {

  /** Returns the position after the chunk. */
  public long endPosition() {
    return position + tokens;
  }
}
