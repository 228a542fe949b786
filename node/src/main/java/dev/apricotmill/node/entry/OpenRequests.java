package dev.apricotmill.node.entry;

import java.util.concurrent.atomic.AtomicInteger;

/** Counts the open requests and enforces their maximum. Thread-safe. */
public final class OpenRequests {

  private final int maximum;
  private final Runnable onIdle;
  private final AtomicInteger count = new AtomicInteger();

  /**
   * Creates a counter.
   *
   * @param maximum the most open requests
   * @param onIdle called whenever the number of open requests drops to zero
   */
  public OpenRequests(int maximum, Runnable onIdle) {
    this.maximum = maximum;
    this.onIdle = onIdle;
  }

  /** Counts a new request; returns false if the maximum is already reached. */
  public boolean tryOpen() {
    int openBefore = count.getAndUpdate(current -> current < maximum ? current + 1 : current);
    return openBefore < maximum;
  }

  /** Counts the end of a request. */
  public void close() {
    if (count.decrementAndGet() == 0) {
      onIdle.run();
    }
  }

  /** Returns the number of open requests. */
  public int count() {
    return count.get();
  }
}
