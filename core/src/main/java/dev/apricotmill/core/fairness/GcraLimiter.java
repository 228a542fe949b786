package dev.apricotmill.core.fairness;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * One rate by the generic cell rate algorithm (ITU-T I.371), which keeps a single number.
 *
 * <p>May fall into debt by one amount, so that an amount of any size passes in the end. Safe for
 * use by several threads without a lock.
 */
public final class GcraLimiter {

  private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final long burstNanos;
  private final AtomicLong theoreticalArrivalNanos;

  /**
   * Creates a rate of which nothing is used.
   *
   * @param burst the time whose amount may be taken at once
   * @param nowNanos the monotonic time
   */
  public GcraLimiter(Duration burst, long nowNanos) {
    burstNanos = burst.toNanos();
    theoreticalArrivalNanos = new AtomicLong(nowNanos);
  }

  /** Returns what an amount costs at a rate, in nanoseconds of that rate. */
  public static long cost(long amount, double perSecond) {
    return (long) (amount / Math.max(perSecond, Double.MIN_NORMAL) * SECOND_NANOS);
  }

  /** Takes what costs that much; returns the time to wait instead, in nanoseconds, or zero. */
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

  /** Gives back what was taken and not used. */
  public void refund(long costNanos) {
    theoreticalArrivalNanos.addAndGet(-costNanos);
  }

  /** Returns whether nothing is owed. */
  public boolean isIdle(long nowNanos) {
    return theoreticalArrivalNanos.get() - nowNanos <= 0;
  }
}
