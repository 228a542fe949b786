package dev.apricotmill.daemon.callers;

import dev.apricotmill.daemon.http.ResponseProgressListener;
import java.util.concurrent.Flow;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import org.jspecify.annotations.Nullable;

/**
 * Asks for as many chunks as the caller's socket took, beyond a fixed window, and cancels the
 * request when the caller is gone.
 */
final class DemandWindow implements ResponseProgressListener {

  private final long windowChunks;
  private final AtomicReference<Flow.@Nullable Subscription> subscription = new AtomicReference<>();
  private final AtomicBoolean disconnected = new AtomicBoolean();

  DemandWindow(long windowChunks) {
    this.windowChunks = windowChunks;
  }

  /** Names the subscription and asks for the first chunks. */
  void start(Flow.Subscription started) {
    subscription.set(started);
    if (disconnected.get()) {
      started.cancel();
    } else {
      started.request(windowChunks);
    }
  }

  @Override
  public void onWritten(int chunks) {
    Flow.Subscription current = subscription.get();
    if (current != null) {
      current.request(chunks);
    }
  }

  @Override
  public void onDisconnected() {
    disconnected.set(true);
    Flow.Subscription current = subscription.get();
    if (current != null) {
      current.cancel();
    }
  }
}
