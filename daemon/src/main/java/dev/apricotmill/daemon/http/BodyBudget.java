package dev.apricotmill.daemon.http;

import java.util.concurrent.atomic.AtomicLong;

/** Bounds the bytes of request bodies that all open exchanges hold together. */
final class BodyBudget {

  private final long maximumBytes;
  private final AtomicLong heldBytes = new AtomicLong();

  BodyBudget(long maximumBytes) {
    this.maximumBytes = maximumBytes;
  }

  /** Takes bytes from the budget; returns false and takes none if too few are left. */
  boolean tryReserve(long bytes) {
    if (heldBytes.addAndGet(bytes) <= maximumBytes) {
      return true;
    }
    heldBytes.addAndGet(-bytes);
    return false;
  }

  /** Gives bytes back. */
  void release(long bytes) {
    heldBytes.addAndGet(-bytes);
  }

  /** Returns the bytes that are held. */
  long heldBytes() {
    return heldBytes.get();
  }
}
