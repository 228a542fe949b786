package dev.apricotmill.daemon.http;

import com.google.errorprone.annotations.concurrent.GuardedBy;
import dev.apricotmill.coordination.memory.BufferBudget;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Buffers the body of one request within the limits. Thread-safe. */
final class RequestBody {

  private static final int FIRST_SEGMENT_BYTES = 1 << 10;
  private static final int MAX_SEGMENT_BYTES = 32 << 10;

  private final int maximumBytes;
  private final BufferBudget processBudget;
  private final BufferBudget.Account listenerAccount;

  /** What is buffered of an unfinished body; a smaller request may take it. */
  private final BufferBudget.Account unfinishedAccount;

  @GuardedBy("this")
  private BufferBudget.Account processAccount;

  /** Full segments, and one that may have room; a growing array would take up to three times. */
  @GuardedBy("this")
  private final List<ByteBuffer> segments = new ArrayList<>();

  @GuardedBy("this")
  private int size;

  @GuardedBy("this")
  private boolean released;

  /**
   * Creates the buffer of a body.
   *
   * @param onRevoked called when a smaller request takes the memory of this unfinished body
   */
  RequestBody(
      int maximumBytes,
      BufferBudget listenerBudget,
      BufferBudget processBudget,
      Runnable onRevoked) {
    this.maximumBytes = maximumBytes;
    this.processBudget = processBudget;
    listenerAccount = listenerBudget.open();
    unfinishedAccount = processBudget.openRevocable(onRevoked);
    processAccount = unfinishedAccount;
  }

  /** Adds a chunk; returns the refusal if the chunk exceeds a limit. Ignored after release. */
  synchronized Optional<EarlyRefusal> add(ByteBuffer chunk) {
    int bytes = chunk.remaining();
    if (released) {
      chunk.position(chunk.limit());
      return Optional.empty();
    }
    if (size + (long) bytes > maximumBytes) {
      return Optional.of(EarlyRefusal.BODY_TOO_LARGE);
    }
    if (!listenerAccount.reserve(bytes)) {
      return Optional.of(EarlyRefusal.NO_BUFFER);
    }
    while (chunk.hasRemaining()) {
      ByteBuffer segment = segments.isEmpty() ? null : segments.get(segments.size() - 1);
      if (segment == null || !segment.hasRemaining()) {
        int capacity = Math.max(FIRST_SEGMENT_BYTES, Math.min(size, MAX_SEGMENT_BYTES));
        if (!processAccount.reserve(capacity)) {
          return Optional.of(EarlyRefusal.NO_BUFFER);
        }
        segment = ByteBuffer.allocate(capacity);
        segments.add(segment);
      }
      int count = Math.min(segment.remaining(), chunk.remaining());
      segment.put(chunk.slice().limit(count));
      chunk.position(chunk.position() + count);
      size += count;
    }
    return Optional.empty();
  }

  /** Returns the buffered bytes and drops them from the buffer; the budget stays reserved. */
  synchronized byte[] takeBytes() {
    byte[] bytes = new byte[size];
    ByteBuffer target = ByteBuffer.wrap(bytes);
    segments.forEach(segment -> target.put(segment.flip()));
    segments.clear();
    if (!released) {
      // A request that is being handled can no longer be given up for another one.
      processAccount = processBudget.open();
      processAccount.add(size);
      unfinishedAccount.close();
    }
    return bytes;
  }

  /** Drops the bytes and releases their share of the budget. */
  synchronized void release() {
    released = true;
    segments.clear();
    listenerAccount.close();
    unfinishedAccount.close();
    processAccount.close();
  }
}
