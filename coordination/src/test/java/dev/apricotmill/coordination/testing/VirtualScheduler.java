package dev.apricotmill.coordination.testing;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.AbstractExecutorService;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * The executor of one simulated process, which can be paused, resumed and shut down.
 *
 * <p>If a task fails, {@link VirtualTime#advance} throws, so that no test misses the failure.
 */
public final class VirtualScheduler extends AbstractExecutorService
    implements ScheduledExecutorService {

  private final VirtualTime time;
  private final Deque<VirtualTask<?>> deferredTasks = new ArrayDeque<>();
  private boolean paused;
  private boolean shutdown;

  VirtualScheduler(VirtualTime time) {
    this.time = time;
  }

  /** Pauses the process: tasks that become due are deferred until {@link #resume}. */
  public void pause() {
    paused = true;
  }

  /** Resumes the process; tasks that became due during the pause run next, in order. */
  public void resume() {
    paused = false;
    while (!deferredTasks.isEmpty()) {
      time.add(deferredTasks.remove());
    }
  }

  /** Returns whether the process is paused. */
  public boolean isPaused() {
    return paused;
  }

  VirtualTime time() {
    return time;
  }

  boolean deferIfPaused(VirtualTask<?> task) {
    if (shutdown) {
      return true;
    }
    if (paused) {
      deferredTasks.add(task);
    }
    return paused;
  }

  void rethrowFailureOf(Future<?> task) {
    if (task.isCancelled()) {
      return;
    }
    try {
      task.get();
    } catch (ExecutionException failure) {
      throw new IllegalStateException("a scheduled task failed", failure.getCause());
    } catch (InterruptedException interruption) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void execute(Runnable task) {
    schedule(task, 0, TimeUnit.NANOSECONDS);
  }

  @Override
  public ScheduledFuture<?> schedule(Runnable task, long delay, TimeUnit unit) {
    return schedule(Executors.callable(task), delay, unit);
  }

  @Override
  public <V> ScheduledFuture<V> schedule(Callable<V> task, long delay, TimeUnit unit) {
    return add(task, unit.toNanos(delay), 0);
  }

  @Override
  public ScheduledFuture<?> scheduleAtFixedRate(
      Runnable task, long initialDelay, long period, TimeUnit unit) {
    return add(Executors.callable(task), unit.toNanos(initialDelay), unit.toNanos(period));
  }

  @Override
  public ScheduledFuture<?> scheduleWithFixedDelay(
      Runnable task, long initialDelay, long delay, TimeUnit unit) {
    return add(Executors.callable(task), unit.toNanos(initialDelay), unit.toNanos(delay));
  }

  @Override
  public void shutdown() {
    shutdown = true;
    deferredTasks.clear();
  }

  @Override
  public List<Runnable> shutdownNow() {
    shutdown();
    return List.of();
  }

  @Override
  public boolean isShutdown() {
    return shutdown;
  }

  @Override
  public boolean isTerminated() {
    return shutdown;
  }

  @Override
  public boolean awaitTermination(long timeout, TimeUnit unit) {
    return shutdown;
  }

  private <V> VirtualTask<V> add(Callable<V> body, long delayNanos, long periodNanos) {
    VirtualTask<V> task =
        new VirtualTask<>(this, body, time.nanoTime() + Math.max(0, delayNanos), periodNanos);
    if (!shutdown) {
      time.add(task);
    }
    return task;
  }
}
