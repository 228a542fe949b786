package dev.apricotmill.coordination.time;

import java.time.Duration;
import java.util.concurrent.Future;
import org.jspecify.annotations.Nullable;

/** Runs a task once if a response exceeds its {@link ResponseLimits}. Thread-safe. */
public final class ResponseTimer implements AutoCloseable {

  private final Timing timing;
  private final ResponseLimits limits;
  private final Runnable onExpired;
  private @Nullable Future<?> stallTask;
  private @Nullable Future<?> totalTask;
  private long lastProgressNanos;
  private boolean progressed;
  private boolean closed;

  private ResponseTimer(Timing timing, ResponseLimits limits, Runnable onExpired) {
    this.timing = timing;
    this.limits = limits;
    this.onExpired = onExpired;
  }

  /** Starts a timer; {@code onExpired} runs on the scheduler of {@code timing}. */
  public static ResponseTimer start(Timing timing, ResponseLimits limits, Runnable onExpired) {
    ResponseTimer timer = new ResponseTimer(timing, limits, onExpired);
    timer.scheduleFirst();
    return timer;
  }

  private synchronized void scheduleFirst() {
    stallTask = timing.schedule(limits.begin(), this::onStallLimit);
    if (limits.total().compareTo(limits.begin()) > 0) {
      totalTask = timing.schedule(limits.total(), this::expire);
    }
  }

  /** Records that something of the response has arrived. */
  public synchronized void onProgress() {
    progressed = true;
    lastProgressNanos = timing.nanoTime();
  }

  private void onStallLimit() {
    if (!rescheduleAfterProgress()) {
      expire();
    }
  }

  /** Waits for the next arrival if there was one; returns whether there was. */
  private synchronized boolean rescheduleAfterProgress() {
    boolean limitsWholeResponse = totalTask == null;
    if (closed || !progressed || limitsWholeResponse) {
      return false;
    }
    progressed = false;
    Duration sinceProgress = Duration.ofNanos(timing.nanoTime() - lastProgressNanos);
    stallTask = timing.schedule(limits.gap().minus(sinceProgress), this::onStallLimit);
    return true;
  }

  private void expire() {
    if (stop()) {
      onExpired.run();
    }
  }

  /** Stops the timer: the response is complete, or no longer awaited. */
  @Override
  public void close() {
    stop();
  }

  /** Returns whether the timer was running. */
  private synchronized boolean stop() {
    if (closed) {
      return false;
    }
    closed = true;
    cancel(stallTask);
    cancel(totalTask);
    return true;
  }

  private static void cancel(@Nullable Future<?> task) {
    if (task != null) {
      task.cancel(false);
    }
  }
}
