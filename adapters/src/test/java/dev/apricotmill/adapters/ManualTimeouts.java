package dev.apricotmill.adapters;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/** A scheduler whose delayed tasks run only when the test expires them. */
final class ManualTimeouts extends ScheduledThreadPoolExecutor {

  private record DeferredTask(ScheduledFuture<?> handle, Runnable task) {}

  private final List<DeferredTask> deferredTasks = new CopyOnWriteArrayList<>();

  ManualTimeouts() {
    super(1);
  }

  @Override
  public ScheduledFuture<?> schedule(Runnable task, long delay, TimeUnit unit) {
    ScheduledFuture<?> handle = super.schedule(() -> {}, 1, TimeUnit.DAYS);
    deferredTasks.add(new DeferredTask(handle, task));
    return handle;
  }

  /** Runs every task that was not cancelled, as if its delay had passed. */
  void expireAll() {
    deferredTasks.stream()
        .filter(entry -> entry.handle().cancel(false))
        .forEach(entry -> entry.task().run());
  }
}
