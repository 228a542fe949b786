package dev.apricotmill.coordination.testing;

import com.google.common.base.Ticker;
import dev.apricotmill.coordination.time.Timing;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.PriorityQueue;

/**
 * A single-threaded timeline on which any number of {@link VirtualScheduler}s run.
 *
 * <p>Tasks run in order of their time, ties in order of submission, so that every run is the same.
 */
public final class VirtualTime {

  private static final Instant START = Instant.parse("2026-11-20T06:00:00Z");

  private final PriorityQueue<VirtualTask<?>> tasks = new PriorityQueue<>();
  private long nowNanos;
  private long nextSequence;

  /** Returns the elapsed virtual time in nanoseconds. */
  public long nanoTime() {
    return nowNanos;
  }

  /** Returns the virtual wall clock. */
  public InstantSource clock() {
    return () -> START.plusNanos(nowNanos);
  }

  /** Returns a new process's view of time, whose scheduler can be paused and stopped alone. */
  public VirtualScheduler newScheduler() {
    return new VirtualScheduler(this);
  }

  /** Returns a view of time with a scheduler of its own. */
  public Timing newTiming() {
    return timingOf(newScheduler());
  }

  /** Returns a view of time on {@code scheduler}. */
  public Timing timingOf(VirtualScheduler scheduler) {
    return new Timing(clock(), ticker(), scheduler);
  }

  /** Returns the monotonic clock. */
  public Ticker ticker() {
    return new Ticker() {
      @Override
      public long read() {
        return nowNanos;
      }
    };
  }

  /** Runs every task that is due within {@code duration} and ends exactly that much later. */
  public void advance(Duration duration) {
    long end = nowNanos + duration.toNanos();
    while (!tasks.isEmpty() && tasks.peek().dueNanos() <= end) {
      runNext();
    }
    nowNanos = end;
  }

  /** Runs the tasks that are due now, without letting time pass. */
  public void runDue() {
    advance(Duration.ZERO);
  }

  void add(VirtualTask<?> task) {
    tasks.add(task);
  }

  void remove(VirtualTask<?> task) {
    tasks.remove(task);
  }

  long nextSequence() {
    return nextSequence++;
  }

  private void runNext() {
    VirtualTask<?> task = tasks.remove();
    nowNanos = Math.max(nowNanos, task.dueNanos());
    task.runOrDefer();
  }
}
