package dev.apricotmill.node.relay;

import dev.apricotmill.coordination.time.Timing;
import java.time.Duration;
import java.util.concurrent.Future;
import org.jspecify.annotations.Nullable;

/** A task that runs once after a delay, unless it is cancelled or scheduled anew before. */
final class ResettableTimer {

  private final Timing timing;
  private final Runnable task;
  private @Nullable Future<?> pending;

  ResettableTimer(Timing timing, Runnable task) {
    this.timing = timing;
    this.task = task;
  }

  void restart(Duration delay) {
    cancel();
    pending = timing.schedule(delay, task);
  }

  void cancel() {
    Future<?> current = pending;
    if (current != null) {
      current.cancel(false);
    }
  }
}
