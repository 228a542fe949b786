package dev.apricotmill.coordination.follow;

import dev.apricotmill.coordination.testing.VirtualScheduler;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import java.util.function.IntConsumer;

/**
 * One direction of a VM's link. Transfers share it fairly, as TCP connections do, and one that its
 * receiver has given up still takes its share: its bytes are in the buffers of the sender.
 */
final class SlowLink {

  /** The granularity at which transfers take turns. */
  static final int FRAGMENT_BYTES = 16 << 10;

  private final VirtualScheduler scheduler;
  private final long bytesPerSecond;
  private final Queue<Transfer> transfers = new ArrayDeque<>();
  private boolean busy;

  SlowLink(VirtualScheduler scheduler, long bytesPerSecond) {
    this.scheduler = scheduler;
    this.bytesPerSecond = bytesPerSecond;
  }

  private static final class Transfer {
    private int remainingBytes;
    private final IntConsumer onFragment;

    Transfer(int bytes, IntConsumer onFragment) {
      remainingBytes = bytes;
      this.onFragment = onFragment;
    }
  }

  /** Sends bytes; {@code onFragment} receives how many are left after each fragment. */
  void send(int bytes, IntConsumer onFragment) {
    transfers.add(new Transfer(bytes, onFragment));
    sendNextFragment();
  }

  /** Sends one fragment; tells its size and then runs {@code onSent} once it has arrived. */
  void sendFragment(int bytes, IntConsumer onReceived, Runnable onSent) {
    send(
        bytes,
        ignored -> {
          onReceived.accept(bytes);
          onSent.run();
        });
  }

  private void sendNextFragment() {
    Transfer transfer = transfers.peek();
    if (busy || transfer == null) {
      return;
    }
    busy = true;
    transfers.remove();
    int fragment = Math.min(FRAGMENT_BYTES, transfer.remainingBytes);
    long nanos = fragment * Duration.ofSeconds(1).toNanos() / bytesPerSecond;
    scheduler.schedule(() -> onSent(transfer, fragment), nanos, TimeUnit.NANOSECONDS);
  }

  private void onSent(Transfer transfer, int fragment) {
    busy = false;
    transfer.remainingBytes -= fragment;
    if (transfer.remainingBytes > 0) {
      transfers.add(transfer);
    }
    transfer.onFragment.accept(transfer.remainingBytes);
    sendNextFragment();
  }
}
