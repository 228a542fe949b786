package dev.apricotmill.node.entry;

import java.util.concurrent.atomic.AtomicInteger;

/** Counts the requests that callers wait for and bounds them. Safe for use by several threads. */
public final class OpenRequests {

  private final int maximum;
  private final Runnable onIdle;
  private final AtomicInteger count = new AtomicInteger();

  /**
   * Creates a counter.
   *
   * @param maximum the most open requests
   * @param onIdle called whenever the last open request has ended
   */
  public OpenRequests(int maximum, Runnable onIdle) {
    this.maximum = maximum;
    this.onIdle = onIdle;
  }

  /** Counts one more, unless the maximum is reached. */
  public boolean tryOpen() {
    int openBefore = count.getAndUpdate(open -> open < maximum ? open + 1 : open);
    return openBefore < maximum;
  }

  /** Counts one less. */
  public void close() {
    if (count.decrementAndGet() == 0) {
      onIdle.run();
    }
  }

  /** Returns how many are open. */
  public int count() {
    return count.get();
  }
}
