package dev.apricotmill.node.relay;

import com.google.errorprone.annotations.concurrent.GuardedBy;
import java.util.ArrayDeque;
import java.util.Queue;

/**
 * Counts the bytes of a response that its caller has not read yet. Thread-safe.
 *
 * <p>The server is not read faster than its caller reads, so that a response to a slow caller takes
 * a bounded part of the node's memory. Callers that keep up are not slowed down.
 */
final class FlowControlWindow {

  /** About the size of a connection's own buffers; a few hundred events of generated text. */
  static final int MAX_UNREAD_BYTES = 64 << 10;

  @GuardedBy("this")
  private final Queue<Integer> chunkSizes = new ArrayDeque<>();

  @GuardedBy("this")
  private long unreadBytes;

  /** Adds a chunk that is about to be written to the caller. */
  synchronized void add(int bytes) {
    chunkSizes.add(bytes);
    unreadBytes += bytes;
  }

  /** Returns whether reading from the server must pause. */
  synchronized boolean isFull() {
    return unreadBytes > MAX_UNREAD_BYTES;
  }

  /**
   * Removes the oldest {@code count} chunks, which the caller's connection has taken. Returns
   * whether this made room in a full window.
   */
  synchronized boolean acknowledge(int count) {
    boolean wasFull = isFull();
    for (int i = 0; i < count && !chunkSizes.isEmpty(); i++) {
      unreadBytes -= chunkSizes.remove();
    }
    return wasFull && !isFull();
  }
}
