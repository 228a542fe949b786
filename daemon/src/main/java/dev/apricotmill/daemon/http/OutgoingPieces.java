package dev.apricotmill.daemon.http;

import com.google.errorprone.annotations.concurrent.GuardedBy;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import org.jspecify.annotations.Nullable;

/** The pieces of an answer that the socket has not taken yet. */
final class OutgoingPieces {

  @GuardedBy("this")
  private final ArrayDeque<ByteBuffer> pieces = new ArrayDeque<>();

  @GuardedBy("this")
  private @Nullable DataStreamChannel channel;

  @GuardedBy("this")
  private boolean ended;

  @GuardedBy("this")
  private boolean closed;

  /** Queues a piece and asks for room on the socket. */
  void add(byte[] piece) {
    DataStreamChannel output;
    synchronized (this) {
      pieces.add(ByteBuffer.wrap(piece));
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
    if (!pieces.isEmpty()) {
      return pieces.element().remaining() + 1;
    }
    return ended && !closed ? 1 : 0;
  }

  /** Writes what the socket takes; returns how many pieces it finished. */
  synchronized int writeTo(DataStreamChannel output) throws IOException {
    channel = output;
    int finished = 0;
    while (!pieces.isEmpty()) {
      ByteBuffer piece = pieces.element();
      output.write(piece);
      if (piece.hasRemaining()) {
        return finished;
      }
      pieces.remove();
      finished++;
    }
    if (ended && !closed) {
      closed = true;
      output.endStream(null);
    }
    return finished;
  }

  /** Returns whether the whole answer was queued. */
  synchronized boolean ended() {
    return ended;
  }

  /** Returns whether the whole answer was handed to the socket. */
  synchronized boolean closed() {
    return closed;
  }

  private static void requestOutput(@Nullable DataStreamChannel output) {
    if (output != null) {
      output.requestOutput();
    }
  }
}
