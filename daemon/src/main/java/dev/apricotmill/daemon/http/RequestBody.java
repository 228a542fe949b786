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
  private ByteArrayOutputStream collected = new ByteArrayOutputStream();

  @GuardedBy("this")
  private long heldBytes;

  @GuardedBy("this")
  private boolean released;

  RequestBody(int maximumBytes, BodyBudget budget) {
    this.maximumBytes = maximumBytes;
    this.budget = budget;
  }

  /** Takes a piece; returns the limit that it breaks, if any. */
  synchronized Optional<EdgeFault> add(ByteBuffer piece) {
    int bytes = piece.remaining();
    if (released) {
      piece.position(piece.limit());
      return Optional.empty();
    }
    if (collected.size() + (long) bytes > maximumBytes) {
      return Optional.of(EdgeFault.BODY_TOO_LARGE);
    }
    if (!budget.take(bytes)) {
      return Optional.of(EdgeFault.NO_BUFFER);
    }
    heldBytes += bytes;
    byte[] copy = new byte[bytes];
    piece.get(copy);
    collected.writeBytes(copy);
    return Optional.empty();
  }

  /** Returns the collected bytes and keeps no copy of them. */
  synchronized byte[] takeBytes() {
    byte[] bytes = collected.toByteArray();
    collected = new ByteArrayOutputStream(0);
    return bytes;
  }

  /** Drops the bytes and gives their share of the budget back. */
  synchronized void release() {
    released = true;
    collected = new ByteArrayOutputStream(0);
    budget.giveBack(heldBytes);
    heldBytes = 0;
  }
}
