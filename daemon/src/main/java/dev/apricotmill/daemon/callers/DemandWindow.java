package dev.apricotmill.daemon.callers;

import dev.apricotmill.daemon.http.ResponseProgressListener;
import java.util.concurrent.Flow;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import org.jspecify.annotations.Nullable;

/**
 * Back-pressure for a response: requests a fixed window of chunks first, then one more for each
 * chunk that was written to the caller's socket. Cancels the request when the caller disconnects.
 */
final class DemandWindow implements ResponseProgressListener {

  private final long windowChunks;
  private final AtomicReference<Flow.@Nullable Subscription> subscription = new AtomicReference<>();
  private final AtomicBoolean disconnected = new AtomicBoolean();

  DemandWindow(long windowChunks) {
    this.windowChunks = windowChunks;
  }

  /** Requests the first chunks, or cancels if the caller has already disconnected. */
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
