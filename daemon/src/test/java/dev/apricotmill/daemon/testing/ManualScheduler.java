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

/** A scheduler whose time stands still until a test advances it; any thread may schedule. */
public final class ManualScheduler extends ScheduledThreadPoolExecutor {

  private static final Instant START = Instant.parse("2026-11-20T06:00:00Z");
  private static final long NEVER_DAYS = 10_000;

  private final AtomicLong nowNanos = new AtomicLong();
  private final ConcurrentLinkedQueue<Pending> pending = new ConcurrentLinkedQueue<>();

  /** Creates a scheduler at the beginning of its time. */
  public ManualScheduler() {
    super(1);
    setRemoveOnCancelPolicy(true);
  }

  /** Returns time as the scheduler has it. */
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

  /** Lets time pass and runs on this thread, once each, the tasks that have become due. */
  public void advance(Duration duration) {
    long now = nowNanos.addAndGet(duration.toNanos());
    List<Pending> due = new ArrayList<>();
    for (Pending task : pending) {
      if (task.dueNanos <= now) {
        due.add(task);
      }
    }
    for (Pending task : due) {
      pending.remove(task);
      if (!task.handle.isCancelled()) {
        task.run.run();
        if (task.periodNanos > 0) {
          pending.add(new Pending(task.run, now + task.periodNanos, task.periodNanos, task.handle));
        }
      }
    }
  }

  private ScheduledFuture<?> add(Runnable task, long delayNanos, long periodNanos) {
    ScheduledFuture<?> handle = super.schedule(() -> {}, NEVER_DAYS, TimeUnit.DAYS);
    pending.add(new Pending(task, nowNanos.get() + delayNanos, periodNanos, handle));
    return handle;
  }

  private record Pending(
      Runnable run, long dueNanos, long periodNanos, ScheduledFuture<?> handle) {}
}
