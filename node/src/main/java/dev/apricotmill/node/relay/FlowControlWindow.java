package dev.apricotmill.node.relay;

import com.google.errorprone.annotations.concurrent.GuardedBy;
import java.util.ArrayDeque;
import java.util.Queue;

/**
 * Counts what a caller has not read yet. Safe for use by several threads.
 *
 * <p>Answers the load pattern of callers that read slowly: the server is not read faster than its
 * caller reads, so that an answer takes a bounded part of the node's memory. A caller that keeps up
 * costs the relay nothing.
 */
final class FlowControlWindow {

  /** About what a connection's own buffers hold; a few hundred events of generated text. */
  static final int MAX_UNREAD_BYTES = 64 << 10;

  @GuardedBy("this")
  private final Queue<Integer> chunkSizes = new ArrayDeque<>();

  @GuardedBy("this")
  private long unreadBytes;

  /** Notes a piece that is about to be written to the caller. */
  synchronized void add(int bytes) {
    chunkSizes.add(bytes);
    unreadBytes += bytes;
  }

  /** Returns whether nothing more should be read for this caller. */
  synchronized boolean isFull() {
    return unreadBytes > MAX_UNREAD_BYTES;
  }

  /**
   * Notes that the caller's connection took pieces, in the order in which they were written;
   * returns whether there is room again that there was not before.
   */
  synchronized boolean acknowledge(int count) {
    boolean wasFull = isFull();
    for (int i = 0; i < count && !chunkSizes.isEmpty(); i++) {
      unreadBytes -= chunkSizes.remove();
    }
    return wasFull && !isFull();
  }
}
