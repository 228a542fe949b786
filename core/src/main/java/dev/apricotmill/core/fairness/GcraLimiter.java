package dev.apricotmill.core.fairness;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A rate limiter by the generic cell rate algorithm (ITU-T I.371), which stores a single number.
 *
 * <p>The limiter may go into debt by one amount, so that an amount of any size eventually passes.
 * Thread-safe and lock-free.
 */
public final class GcraLimiter {

  private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final long burstNanos;
  private final AtomicLong theoreticalArrivalNanos;

  /**
   * Creates a limiter of which nothing is used.
   *
   * @param burst the time whose amount may be taken at once, in addition to one more amount
   * @param nowNanos the monotonic time
   */
  public GcraLimiter(Duration burst, long nowNanos) {
    burstNanos = burst.toNanos();
    theoreticalArrivalNanos = new AtomicLong(nowNanos);
  }

  /** Returns the cost of an amount, which is the time in nanoseconds that the rate needs for it. */
  public static long cost(long amount, double perSecond) {
    return (long) (amount / Math.max(perSecond, Double.MIN_NORMAL) * SECOND_NANOS);
  }

  /** Takes an amount of the given cost and returns 0, or returns the wait in nanoseconds. */
  public long take(long costNanos, long nowNanos) {
    while (true) {
      long theoreticalArrival = theoreticalArrivalNanos.get();
      long waitNanos = theoreticalArrival - nowNanos - burstNanos;
      if (waitNanos > 0) {
        return waitNanos;
      }
      long startNanos = theoreticalArrival - nowNanos < 0 ? nowNanos : theoreticalArrival;
      if (theoreticalArrivalNanos.compareAndSet(theoreticalArrival, startNanos + costNanos)) {
        return 0;
      }
    }
  }

  /** Refunds an amount that was taken but not used. */
  public void refund(long costNanos) {
    theoreticalArrivalNanos.addAndGet(-costNanos);
  }

  /** Returns whether the limiter has no debt. */
  public boolean isIdle(long nowNanos) {
    return theoreticalArrivalNanos.get() - nowNanos <= 0;
  }
}
