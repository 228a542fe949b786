package dev.apricotmill.node.relay;

import java.util.ArrayDeque;
import java.util.Queue;

/**
 * Counts what a caller has not read yet.
 *
 * <p>Answers the load pattern of callers that read slowly: the server is not read faster than its
 * caller reads, so that an answer takes a bounded part of the node's memory.
 */
final class CallerWindow {

  /** About what a connection's own buffers hold; a few hundred events of generated text. */
  static final int MOST_UNREAD_BYTES = 64 << 10;

  private final Queue<Integer> pieces = new ArrayDeque<>();
  private long unreadBytes;

  /** Notes a piece that was written to the caller. */
  void written(int bytes) {
    pieces.add(bytes);
    unreadBytes += bytes;
  }

  /** Notes that the caller's connection took pieces, in the order in which they were written. */
  void taken(int count) {
    for (int i = 0; i < count && !pieces.isEmpty(); i++) {
      unreadBytes -= pieces.remove();
    }
  }

  /** Returns whether nothing more should be read for this caller. */
  boolean isFull() {
    return unreadBytes > MOST_UNREAD_BYTES;
  }
}
