package dev.apricotmill.adapters;

import com.google.common.math.LongMath;
import dev.apricotmill.core.engine.GenerationEnd;
import dev.apricotmill.core.engine.GenerationListener;
import dev.apricotmill.core.engine.TokenChunk;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;

/**
 * Delivers chunks to a listener in order, as many as it has requested, and then the end.
 *
 * <p>A {@link GenerationEnd.Broken} end does not wait for demand: chunks that were not yet
 * requested are dropped, and the caller that resumes the stream requests them again. Thread-safe.
 */
final class ChunkDelivery {

  private final GenerationListener listener;
  private final Runnable onDemand;
  private final Queue<TokenChunk> queue = new ConcurrentLinkedQueue<>();
  private final AtomicLong demand = new AtomicLong();
  private final AtomicInteger pendingDrains = new AtomicInteger();
  private volatile @Nullable GenerationEnd end;
  private volatile boolean stopped;

  /**
   * Creates a delivery.
   *
   * @param listener receives the chunks
   * @param onDemand called when the listener has taken all chunks and wants more
   */
  ChunkDelivery(GenerationListener listener, Runnable onDemand) {
    this.listener = listener;
    this.onDemand = onDemand;
  }

  void request(long chunks) {
    if (chunks <= 0) {
      return;
    }
    demand.accumulateAndGet(chunks, LongMath::saturatedAdd);
    drain();
  }

  void add(TokenChunk chunk) {
    queue.add(chunk);
    drain();
  }

  void end(GenerationEnd newEnd) {
    end = newEnd;
    drain();
  }

  /** Stops calls to the listener, except one that is already in progress. */
  void stop() {
    stopped = true;
    queue.clear();
  }

  boolean wantsMore() {
    return queue.isEmpty() && demand.get() > 0;
  }

  private void drain() {
    if (pendingDrains.getAndIncrement() != 0) {
      return;
    }
    int drains = 1;
    while (drains != 0) {
      deliver();
      drains = pendingDrains.addAndGet(-drains);
    }
  }

  private void deliver() {
    GenerationEnd currentEnd = end;
    if (!(currentEnd instanceof GenerationEnd.Broken)) {
      deliverChunks();
    }
    if (stopped) {
      return;
    }
    boolean mayEnd = queue.isEmpty() || currentEnd instanceof GenerationEnd.Broken;
    if (currentEnd != null && mayEnd) {
      stop();
      listener.onEnd(currentEnd);
    } else if (wantsMore()) {
      onDemand.run();
    }
  }

  private void deliverChunks() {
    while (!stopped && demand.get() > 0) {
      TokenChunk chunk = queue.poll();
      if (chunk == null) {
        return;
      }
      demand.decrementAndGet();
      listener.onChunk(chunk);
    }
  }
}
