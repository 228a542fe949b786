package dev.apricotmill.daemon.callers;

import dev.apricotmill.daemon.http.ReplyListener;
import java.util.concurrent.Flow;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import org.jspecify.annotations.Nullable;

/**
 * Asks for as many chunks as the caller's socket took, beyond a fixed window, and cancels the
 * request when the caller is gone.
 */
final class DemandWindow implements ReplyListener {

  private final long window;
  private final AtomicReference<Flow.@Nullable Subscription> subscription = new AtomicReference<>();
  private final AtomicBoolean gone = new AtomicBoolean();

  DemandWindow(long window) {
    this.window = window;
  }

  /** Names the subscription and asks for the first chunks. */
  void start(Flow.Subscription started) {
    subscription.set(started);
    if (gone.get()) {
      started.cancel();
    } else {
      started.request(window);
    }
  }

  @Override
  public void onWritten(int pieces) {
    Flow.Subscription current = subscription.get();
    if (current != null) {
      current.request(pieces);
    }
  }

  @Override
  public void onGone() {
    gone.set(true);
    Flow.Subscription current = subscription.get();
    if (current != null) {
      current.cancel();
    }
  }
}
