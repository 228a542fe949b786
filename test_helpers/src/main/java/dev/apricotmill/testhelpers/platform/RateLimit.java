package dev.apricotmill.testhelpers.platform;

import dev.apricotmill.coordination.time.Timing;
import java.util.concurrent.TimeUnit;

/** Allows a number of calls in each second. */
final class RateLimit {

  private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final int callsPerSecond;
  private final Timing timing;
  private long windowStartNanos;
  private int calls;

  RateLimit(int callsPerSecond, Timing timing) {
    this.callsPerSecond = callsPerSecond;
    this.timing = timing;
    this.windowStartNanos = timing.nanoTime();
  }

  synchronized boolean allow() {
    long now = timing.nanoTime();
    if (now - windowStartNanos >= WINDOW_NANOS) {
      windowStartNanos = now;
      calls = 0;
    }
    calls++;
    return calls <= callsPerSecond;
  }
}
