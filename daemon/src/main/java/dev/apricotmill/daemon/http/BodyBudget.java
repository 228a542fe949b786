package dev.apricotmill.daemon.http;

import java.util.concurrent.atomic.AtomicLong;

/** Bounds the total bytes of request bodies that open exchanges hold in memory. Thread-safe. */
final class BodyBudget {

  private final long maximumBytes;
  private final AtomicLong heldBytes = new AtomicLong();

  BodyBudget(long maximumBytes) {
    this.maximumBytes = maximumBytes;
  }

  /** Reserves bytes; returns false and reserves none if too few are left. */
  boolean tryReserve(long bytes) {
    if (heldBytes.addAndGet(bytes) <= maximumBytes) {
      return true;
    }
    heldBytes.addAndGet(-bytes);
    return false;
  }

  void release(long bytes) {
    heldBytes.addAndGet(-bytes);
  }

  long heldBytes() {
    return heldBytes.get();
  }
}
