package dev.apricotmill.adapters;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.concurrent.atomic.AtomicReference;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.jspecify.annotations.Nullable;

/**
 * Flow control of a streamed response. Reads one window at a time, so that TCP back-pressure stops
 * the peer while the reader wants no more. Thread-safe.
 */
final class StreamWindow {

  /** Size of a window; holds some hundred events. */
  static final int BYTES = 16 * 1024;

  private final AtomicReference<@Nullable CapacityChannel> exhaustedChannel =
      new AtomicReference<>();

  /** Records that the window has been read completely. */
  void onExhausted(CapacityChannel channel) {
    exhaustedChannel.set(channel);
  }

  /** Opens the next window if the last one has been read completely. */
  void readNext() {
    CapacityChannel channel = exhaustedChannel.getAndSet(null);
    if (channel == null) {
      return;
    }
    try {
      channel.update(BYTES);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
