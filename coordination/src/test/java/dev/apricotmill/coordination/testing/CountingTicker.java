package dev.apricotmill.coordination.testing;

import com.google.common.base.Ticker;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The monotonic clock of a {@link VirtualTime} that counts its reads, so that a test can wait until
 * code on another thread has looked at the time.
 */
public final class CountingTicker extends Ticker {

  private final VirtualTime time;
  private final AtomicInteger reads = new AtomicInteger();

  /** Creates a ticker on {@code time}. */
  public CountingTicker(VirtualTime time) {
    this.time = time;
  }

  @Override
  public long read() {
    reads.incrementAndGet();
    return time.nanoTime();
  }

  /** Returns how often the clock was read. */
  public int reads() {
    return reads.get();
  }
}
