package dev.apricotmill.coordination.time;

import com.google.common.base.Ticker;
import java.time.Duration;
import java.time.InstantSource;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * The clocks and the scheduler, injected so that tests can pause and advance time.
 *
 * @param clock the wall clock, used only for values that leave the process or outlive it
 * @param ticker the monotonic clock in nanoseconds, used for every timeout and deadline
 * @param scheduler runs delayed tasks; its delays follow {@code ticker}
 */
public record Timing(InstantSource clock, Ticker ticker, ScheduledExecutorService scheduler) {

  /** Returns the monotonic time in nanoseconds. */
  public long nanoTime() {
    return ticker.read();
  }

  /** Runs {@code task} once after {@code delay}. */
  public ScheduledFuture<?> schedule(Duration delay, Runnable task) {
    return scheduler.schedule(task, Math.max(0, delay.toNanos()), TimeUnit.NANOSECONDS);
  }

  /** Runs {@code task} repeatedly, {@code period} after the end of the previous run. */
  public ScheduledFuture<?> scheduleRepeatedly(Duration period, Runnable task) {
    long nanos = period.toNanos();
    return scheduler.scheduleWithFixedDelay(task, nanos, nanos, TimeUnit.NANOSECONDS);
  }

  /** Returns a deadline that is {@code timeout} from now. */
  public Deadline deadlineAfter(Duration timeout) {
    return new Deadline(nanoTime() + timeout.toNanos());
  }
}
