package dev.apricotmill.node.relay;

import com.google.errorprone.annotations.concurrent.GuardedBy;
import dev.apricotmill.coordination.memory.ChunkBuffer;
import org.jspecify.annotations.Nullable;

/**
 * The chunks of a response that have arrived and wait for the relay's executor. Thread-safe.
 *
 * <p>They are handled in one task, and their server is held back while many bytes wait. What other
 * requests wait for is thus bounded, however fast a server writes, and in whatever pieces.
 */
final class WaitingChunks {

  private static final int MAX_BYTES = 16 << 10;

  @GuardedBy("this")
  private final ChunkBuffer kept = new ChunkBuffer();

  @GuardedBy("this")
  private long droppedBytes;

  @GuardedBy("this")
  private boolean isTaskQueued;

  /**
   * All chunks that waited.
   *
   * @param bytes the bytes that were kept
   * @param droppedBytes the number of bytes after them that were dropped
   */
  @SuppressWarnings("ArrayRecordComponent")
  record Batch(byte[] bytes, long droppedBytes) {

    /** Returns whether reading from the server was paused, and must be resumed. */
    boolean isServerHeldBack() {
      return exceedsMaximum(bytes.length + droppedBytes);
    }
  }

  /**
   * Adds a chunk, and pauses reading from its server if too much waits.
   *
   * @param keep whether its bytes are needed; none are kept after one that was dropped
   * @param exchange the exchange of the response; null if it is not known yet
   * @return whether a task that takes the chunks must be queued
   */
  synchronized boolean add(byte[] chunk, boolean keep, BackendClient.@Nullable Exchange exchange) {
    if (keep && droppedBytes == 0) {
      kept.add(chunk);
    } else {
      droppedBytes += chunk.length;
    }
    if (exceedsMaximum(kept.size() + droppedBytes) && exchange != null) {
      exchange.pauseReading();
    }
    boolean mustQueueTask = !isTaskQueued;
    isTaskQueued = true;
    return mustQueueTask;
  }

  /** Removes and returns all chunks. */
  synchronized Batch take() {
    Batch batch = new Batch(kept.toByteArray(), droppedBytes);
    kept.reset();
    droppedBytes = 0;
    isTaskQueued = false;
    return batch;
  }

  private static boolean exceedsMaximum(long bytes) {
    return bytes > MAX_BYTES;
  }
}
