package dev.apricotmill.daemon.http;

import com.google.errorprone.annotations.concurrent.GuardedBy;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.Optional;

/** Collects the body of one request within the limits, and drops it once one is broken. */
final class RequestBody {

  private final int maximumBytes;
  private final BodyBudget budget;

  @GuardedBy("this")
  private ByteArrayOutputStream buffer = new ByteArrayOutputStream();

  @GuardedBy("this")
  private long heldBytes;

  @GuardedBy("this")
  private boolean released;

  RequestBody(int maximumBytes, BodyBudget budget) {
    this.maximumBytes = maximumBytes;
    this.budget = budget;
  }

  /** Takes a piece; returns the limit that it breaks, if any. */
  synchronized Optional<EarlyRefusal> add(ByteBuffer chunk) {
    int bytes = chunk.remaining();
    if (released) {
      chunk.position(chunk.limit());
      return Optional.empty();
    }
    if (buffer.size() + (long) bytes > maximumBytes) {
      return Optional.of(EarlyRefusal.BODY_TOO_LARGE);
    }
    if (!budget.tryReserve(bytes)) {
      return Optional.of(EarlyRefusal.NO_BUFFER);
    }
    heldBytes += bytes;
    byte[] copy = new byte[bytes];
    chunk.get(copy);
    buffer.writeBytes(copy);
    return Optional.empty();
  }

  /** Returns the collected bytes and keeps no copy of them. */
  synchronized byte[] takeBytes() {
    byte[] bytes = buffer.toByteArray();
    buffer = new ByteArrayOutputStream(0);
    return bytes;
  }

  /** Drops the bytes and gives their share of the budget back. */
  synchronized void release() {
    released = true;
    buffer = new ByteArrayOutputStream(0);
    budget.release(heldBytes);
    heldBytes = 0;
  }
}
