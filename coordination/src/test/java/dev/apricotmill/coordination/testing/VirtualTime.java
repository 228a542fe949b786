package dev.apricotmill.coordination.testing;

import com.google.common.base.Ticker;
import dev.apricotmill.coordination.time.Timing;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.PriorityQueue;

/**
 * A single-threaded virtual clock that runs the tasks of any number of {@link VirtualScheduler}s.
 *
 * <p>Tasks run in order of due time, ties in order of submission, so that runs are deterministic.
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

  /** Returns a scheduler for a new process, which can be paused and stopped on its own. */
  public VirtualScheduler newScheduler() {
    return new VirtualScheduler(this);
  }

  /** Returns clocks on this time with a new scheduler. */
  public Timing newTiming() {
    return timingOf(newScheduler());
  }

  /** Returns clocks on this time with the given scheduler. */
  public Timing timingOf(VirtualScheduler scheduler) {
    return new Timing(clock(), ticker(), scheduler);
  }

  /** Returns the virtual monotonic clock. */
  public Ticker ticker() {
    return new Ticker() {
      @Override
      public long read() {
        return nowNanos;
      }
    };
  }

  /** Runs every task that is due within {@code duration}, then sets the time to its end. */
  public void advance(Duration duration) {
    long end = nowNanos + duration.toNanos();
    while (!tasks.isEmpty() && tasks.peek().dueNanos() <= end) {
      runNext();
    }
    nowNanos = end;
  }

  /** Runs the tasks that are due now, without advancing the time. */
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
