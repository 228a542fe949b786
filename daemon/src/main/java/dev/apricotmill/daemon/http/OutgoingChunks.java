package dev.apricotmill.daemon.http;

import com.google.errorprone.annotations.concurrent.GuardedBy;
import dev.apricotmill.coordination.memory.BufferBudget;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import org.jspecify.annotations.Nullable;

/** Queue of the response chunks that are not written to the socket yet. Thread-safe. */
final class OutgoingChunks {

  /**
   * Bytes of one write. The runtime copies what it writes to direct memory, which it keeps for each
   * thread at the largest size that was written.
   */
  private static final int MAX_WRITE_BYTES = 64 << 10;

  private final BufferBudget.Account account;

  @GuardedBy("this")
  private final ArrayDeque<ByteBuffer> chunks = new ArrayDeque<>();

  @GuardedBy("this")
  private @Nullable DataStreamChannel channel;

  @GuardedBy("this")
  private boolean ended;

  @GuardedBy("this")
  private boolean endWritten;

  /**
   * Creates an empty queue.
   *
   * @param account the memory of the queue, which its owner closes
   */
  OutgoingChunks(BufferBudget.Account account) {
    this.account = account;
  }

  /**
   * Queues a chunk and requests output on the channel; returns false if there is no memory for it.
   */
  boolean add(byte[] chunk) {
    if (!account.reserve(chunk.length)) {
      return false;
    }
    DataStreamChannel output;
    synchronized (this) {
      chunks.add(ByteBuffer.wrap(chunk));
      output = channel;
    }
    requestOutput(output);
    return true;
  }

  /** Marks the end; no chunk follows. */
  void end() {
    DataStreamChannel output;
    synchronized (this) {
      ended = true;
      output = channel;
    }
    requestOutput(output);
  }

  /** Returns a positive number while there is something to write, including the end. */
  synchronized int available() {
    if (!chunks.isEmpty()) {
      return chunks.element().remaining() + 1;
    }
    return ended && !endWritten ? 1 : 0;
  }

  /** Writes as much as the channel accepts; returns the number of completely written chunks. */
  synchronized int writeTo(DataStreamChannel output) throws IOException {
    channel = output;
    int finished = 0;
    while (!chunks.isEmpty()) {
      ByteBuffer chunk = chunks.element();
      if (!writeWhole(chunk, output)) {
        return finished;
      }
      chunks.remove();
      account.release(chunk.capacity());
      finished++;
    }
    if (ended && !endWritten) {
      endWritten = true;
      output.endStream(null);
    }
    return finished;
  }

  private static boolean writeWhole(ByteBuffer chunk, DataStreamChannel output) throws IOException {
    while (chunk.hasRemaining()) {
      ByteBuffer piece = chunk.slice();
      piece.limit(Math.min(MAX_WRITE_BYTES, piece.remaining()));
      output.write(piece);
      chunk.position(chunk.position() + piece.position());
      if (piece.hasRemaining()) {
        return false;
      }
    }
    return true;
  }

  /** Returns whether the complete response is queued or written. */
  synchronized boolean ended() {
    return ended;
  }

  /** Returns whether the complete response was written to the channel. */
  synchronized boolean endWritten() {
    return endWritten;
  }

  private static void requestOutput(@Nullable DataStreamChannel output) {
    if (output != null) {
      output.requestOutput();
    }
  }
}
