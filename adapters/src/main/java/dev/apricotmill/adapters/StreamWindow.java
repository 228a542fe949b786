package dev.apricotmill.adapters;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.concurrent.atomic.AtomicReference;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.jspecify.annotations.Nullable;

/**
 * Reads a streamed answer window by window, so that what its reader does not want yet stays with
 * the peer. Safe for use by several threads.
 */
final class StreamWindow {

  /** What is read before more must be asked for: some hundred events. */
  static final int BYTES = 16 * 1024;

  private final AtomicReference<@Nullable CapacityChannel> exhaustedChannel =
      new AtomicReference<>();

  /** Takes note that a window has been read. */
  void onExhausted(CapacityChannel channel) {
    exhaustedChannel.set(channel);
  }

  /** Reads one window more if the last one has been read. */
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
