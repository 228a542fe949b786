package dev.apricotmill.testhelpers.platform;

import dev.apricotmill.coordination.platform.WatchResult;
import dev.apricotmill.coordination.time.Timing;
import dev.apricotmill.testhelpers.http.StandInReply;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicBoolean;

/** A watch that waits for a change or for its time to run out. */
final class PendingWatch implements Runnable {

  private final PlatformStore store;
  private final String prefix;
  private final long after;
  private final StandInReply reply;
  private final AtomicBoolean answered = new AtomicBoolean();

  PendingWatch(PlatformStore store, String prefix, long after, StandInReply reply) {
    this.store = store;
    this.prefix = prefix;
    this.after = after;
    this.reply = reply;
  }

  void start(Timing timing, Duration wait) {
    store.addWatcher(this);
    timing.schedule(wait, () -> answer(store.changes(prefix, after)));
    run();
  }

  /** Looks for changes after a write. */
  @Override
  public void run() {
    WatchResult result = store.changes(prefix, after);
    boolean nothing =
        result instanceof WatchResult.Changes changes
            && changes.changed().isEmpty()
            && changes.removed().isEmpty();
    if (!nothing) {
      answer(result);
    }
  }

  private void answer(WatchResult result) {
    if (answered.compareAndSet(false, true)) {
      store.removeWatcher(this);
      reply.send(PlatformJson.watch(result));
    }
  }
}
