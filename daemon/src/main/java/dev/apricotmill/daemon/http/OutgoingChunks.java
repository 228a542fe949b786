package dev.apricotmill.daemon.http;

import com.google.errorprone.annotations.concurrent.GuardedBy;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import org.jspecify.annotations.Nullable;

/** Queue of the response chunks that are not written to the socket yet. Thread-safe. */
final class OutgoingChunks {

  @GuardedBy("this")
  private final ArrayDeque<ByteBuffer> chunks = new ArrayDeque<>();

  @GuardedBy("this")
  private @Nullable DataStreamChannel channel;

  @GuardedBy("this")
  private boolean ended;

  @GuardedBy("this")
  private boolean endWritten;

  /** Queues a chunk and requests output on the channel. */
  void add(byte[] chunk) {
    DataStreamChannel output;
    synchronized (this) {
      chunks.add(ByteBuffer.wrap(chunk));
      output = channel;
    }
    requestOutput(output);
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
      output.write(chunk);
      if (chunk.hasRemaining()) {
        return finished;
      }
      chunks.remove();
      finished++;
    }
    if (ended && !endWritten) {
      endWritten = true;
      output.endStream(null);
    }
    return finished;
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
