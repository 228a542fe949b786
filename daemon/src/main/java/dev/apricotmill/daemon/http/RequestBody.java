package dev.apricotmill.daemon.http;

import com.google.errorprone.annotations.concurrent.GuardedBy;
import dev.apricotmill.coordination.memory.BufferBudget;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.Optional;

/** Buffers the body of one request within the limits. Thread-safe. */
final class RequestBody {

  private final int maximumBytes;
  private final BufferBudget.Account account;

  @GuardedBy("this")
  private ByteArrayOutputStream buffer = new ByteArrayOutputStream();

  @GuardedBy("this")
  private boolean released;

  RequestBody(int maximumBytes, BufferBudget budget) {
    this.maximumBytes = maximumBytes;
    account = budget.open();
  }

  /** Adds a chunk; returns the refusal if the chunk exceeds a limit. Ignored after release. */
  synchronized Optional<EarlyRefusal> add(ByteBuffer chunk) {
    int bytes = chunk.remaining();
    if (released) {
      chunk.position(chunk.limit());
      return Optional.empty();
    }
    if (buffer.size() + (long) bytes > maximumBytes) {
      return Optional.of(EarlyRefusal.BODY_TOO_LARGE);
    }
    if (!account.reserve(bytes)) {
      return Optional.of(EarlyRefusal.NO_BUFFER);
    }
    byte[] copy = new byte[bytes];
    chunk.get(copy);
    buffer.writeBytes(copy);
    return Optional.empty();
  }

  /** Returns the buffered bytes and drops them from the buffer; the budget stays reserved. */
  synchronized byte[] takeBytes() {
    byte[] bytes = buffer.toByteArray();
    buffer = new ByteArrayOutputStream(0);
    return bytes;
  }

  /** Drops the bytes and releases their share of the budget. */
  synchronized void release() {
    released = true;
    buffer = new ByteArrayOutputStream(0);
    account.close();
  }
}
