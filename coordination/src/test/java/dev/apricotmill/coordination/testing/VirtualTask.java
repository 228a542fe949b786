package dev.apricotmill.coordination.testing;

import java.util.concurrent.Callable;
import java.util.concurrent.Delayed;
import java.util.concurrent.FutureTask;
import java.util.concurrent.RunnableScheduledFuture;
import java.util.concurrent.TimeUnit;

/** A one-time or periodic task of a {@link VirtualScheduler}. */
final class VirtualTask<V> extends FutureTask<V> implements RunnableScheduledFuture<V> {

  private final VirtualScheduler scheduler;
  private final long sequence;
  private final long periodNanos;
  private long dueNanos;

  VirtualTask(VirtualScheduler scheduler, Callable<V> body, long dueNanos, long periodNanos) {
    super(body);
    this.scheduler = scheduler;
    this.sequence = scheduler.time().nextSequence();
    this.dueNanos = dueNanos;
    this.periodNanos = periodNanos;
  }

  long dueNanos() {
    return dueNanos;
  }

  void runOrDefer() {
    if (scheduler.deferIfPaused(this)) {
      return;
    }
    run();
  }

  @Override
  public void run() {
    if (!isPeriodic()) {
      super.run();
      scheduler.rethrowFailureOf(this);
      return;
    }
    if (runAndReset()) {
      dueNanos = scheduler.time().nanoTime() + periodNanos;
      scheduler.time().add(this);
    } else {
      scheduler.rethrowFailureOf(this);
    }
  }

  @Override
  public boolean cancel(boolean mayInterruptIfRunning) {
    scheduler.time().remove(this);
    return super.cancel(mayInterruptIfRunning);
  }

  @Override
  public boolean isPeriodic() {
    return periodNanos > 0;
  }

  @Override
  public long getDelay(TimeUnit unit) {
    return unit.convert(dueNanos - scheduler.time().nanoTime(), TimeUnit.NANOSECONDS);
  }

  @Override
  public int compareTo(Delayed other) {
    VirtualTask<?> that = (VirtualTask<?>) other;
    int byTime = Long.compare(dueNanos, that.dueNanos);
    return byTime != 0 ? byTime : Long.compare(sequence, that.sequence);
  }

  @Override
  public boolean equals(Object other) {
    return this == other;
  }

  @Override
  public int hashCode() {
    return System.identityHashCode(this);
  }
}
