package dev.apricotmill.daemon.http;

import com.google.errorprone.annotations.concurrent.GuardedBy;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import org.jspecify.annotations.Nullable;

/** The pieces of an answer that the socket has not taken yet. */
final class OutgoingChunks {

  @GuardedBy("this")
  private final ArrayDeque<ByteBuffer> chunks = new ArrayDeque<>();

  @GuardedBy("this")
  private @Nullable DataStreamChannel channel;

  @GuardedBy("this")
  private boolean ended;

  @GuardedBy("this")
  private boolean endWritten;

  /** Queues a piece and asks for room on the socket. */
  void add(byte[] chunk) {
    DataStreamChannel output;
    synchronized (this) {
      chunks.add(ByteBuffer.wrap(chunk));
      output = channel;
    }
    requestOutput(output);
  }

  /** Marks that no piece follows. */
  void end() {
    DataStreamChannel output;
    synchronized (this) {
      ended = true;
      output = channel;
    }
    requestOutput(output);
  }

  /** Returns a positive number while there is something to write. */
  synchronized int available() {
    if (!chunks.isEmpty()) {
      return chunks.element().remaining() + 1;
    }
    return ended && !endWritten ? 1 : 0;
  }

  /** Writes what the socket takes; returns how many pieces it finished. */
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

  /** Returns whether the whole answer was queued. */
  synchronized boolean ended() {
    return ended;
  }

  /** Returns whether the whole answer was handed to the socket. */
  synchronized boolean endWritten() {
    return endWritten;
  }

  private static void requestOutput(@Nullable DataStreamChannel output) {
    if (output != null) {
      output.requestOutput();
    }
  }
}
