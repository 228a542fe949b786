package dev.apricotmill.daemon.testing;

import com.google.common.base.Ticker;
import dev.apricotmill.coordination.time.Timing;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** A scheduler whose time passes only when a test advances it; any thread may schedule. */
public final class ManualScheduler extends ScheduledThreadPoolExecutor {

  private static final Instant START = Instant.parse("2026-11-20T06:00:00Z");
  private static final long PLACEHOLDER_DELAY_DAYS = 10_000;

  private final AtomicLong nowNanos = new AtomicLong();
  private final ConcurrentLinkedQueue<PendingTask> pending = new ConcurrentLinkedQueue<>();

  /** Creates a scheduler at its fixed start time. */
  public ManualScheduler() {
    super(1);
    setRemoveOnCancelPolicy(true);
  }

  /** Returns the clocks of this scheduler. */
  public Timing timing() {
    return new Timing(
        () -> START.plusNanos(nowNanos.get()),
        new Ticker() {
          @Override
          public long read() {
            return nowNanos.get();
          }
        },
        this);
  }

  @Override
  public ScheduledFuture<?> schedule(Runnable task, long delay, TimeUnit unit) {
    return add(task, unit.toNanos(delay), 0);
  }

  @Override
  public ScheduledFuture<?> scheduleWithFixedDelay(
      Runnable task, long initialDelay, long delay, TimeUnit unit) {
    return add(task, unit.toNanos(initialDelay), unit.toNanos(delay));
  }

  /** Advances the time and runs each task that is now due once, on the calling thread. */
  public void advance(Duration duration) {
    long now = nowNanos.addAndGet(duration.toNanos());
    List<PendingTask> due = new ArrayList<>();
    for (PendingTask task : pending) {
      if (task.dueNanos <= now) {
        due.add(task);
      }
    }
    for (PendingTask task : due) {
      pending.remove(task);
      if (!task.future.isCancelled()) {
        task.task.run();
        if (task.periodNanos > 0) {
          pending.add(
              new PendingTask(task.task, now + task.periodNanos, task.periodNanos, task.future));
        }
      }
    }
  }

  private ScheduledFuture<?> add(Runnable task, long delayNanos, long periodNanos) {
    ScheduledFuture<?> future = super.schedule(() -> {}, PLACEHOLDER_DELAY_DAYS, TimeUnit.DAYS);
    pending.add(new PendingTask(task, nowNanos.get() + delayNanos, periodNanos, future));
    return future;
  }

  private record PendingTask(
      Runnable task, long dueNanos, long periodNanos, ScheduledFuture<?> future) {}
}
