package dev.apricotmill.node.relay;

import dev.apricotmill.coordination.memory.BufferBudget;
import dev.apricotmill.coordination.time.Timing;
import dev.apricotmill.core.relay.BackendServer;
import java.time.Duration;
import java.util.OptionalLong;
import java.util.concurrent.Executor;
import org.jspecify.annotations.Nullable;

/** One attempt to send a request to one server. Events of a closed attempt are ignored. */
final class BackendAttempt implements BackendClient.ResponseListener {

  /** Receives the events of an attempt, on the relay's executor. */
  interface AttemptListener {
    /** Called with the status and headers of the response. */
    void onHead(BackendAttempt attempt, BackendClient.Head head);

    /** Called with each chunk of the body. */
    void onBody(BackendAttempt attempt, byte[] chunk);

    /** Called when the response is complete. */
    void onEnd(BackendAttempt attempt);

    /** Called when no complete response will come. */
    void onFailure(BackendAttempt attempt, boolean maybeSent, BackendFailure failure);

    /** Returns the bytes of the attempt's response that are buffered. */
    long bufferedBytes();
  }

  /** A refusal is shorter, and its server writes it at once. */
  private static final int MAX_DISCARDED_BYTES = 64 << 10;

  private static final Duration MAX_DISCARD_TIME = Duration.ofMillis(500);

  private final BackendServer server;
  private final Executor executor;
  private AttemptListener listener;
  private final long sentNanos;
  private final BufferBudget.Account buffer;
  private final WaitingChunks waitingChunks = new WaitingChunks();
  private volatile BackendClient.@Nullable Exchange exchange;
  private boolean readingPaused;
  private boolean closed;
  private boolean responseBegun;
  private boolean responseEnded;
  private long discardedBytes;
  private OptionalLong firstEventNanos = OptionalLong.empty();

  /**
   * Creates an attempt that was not sent yet.
   *
   * @param buffers the memory for the responses of all attempts
   */
  BackendAttempt(
      BackendServer server, Timing timing, BufferBudget buffers, AttemptListener listener) {
    this.server = server;
    executor = timing.scheduler();
    sentNanos = timing.nanoTime();
    this.listener = listener;
    buffer = buffers.openRevocable(this::onNoBuffer);
  }

  void start(BackendClient backends, BackendClient.BackendRequest request) {
    exchange = backends.send(request, this);
  }

  /** Reports all further events to another listener; called on the relay's executor. */
  void setListener(AttemptListener newListener) {
    listener = newListener;
  }

  BackendServer server() {
    return server;
  }

  /** Returns when the request was sent. */
  long sentNanos() {
    return sentNanos;
  }

  boolean isClosed() {
    return closed;
  }

  /** Ignores all further events of the response. */
  void close() {
    closed = true;
    buffer.close();
  }

  /**
   * Ignores all further events, but reads the rest of the response, so that the connection can be
   * reused. A rest that is long or does not come is not waited for.
   */
  void discardRest(Timing timing) {
    close();
    timing.schedule(MAX_DISCARD_TIME, this::cancelUnlessEnded);
  }

  private void cancelUnlessEnded() {
    if (!responseEnded) {
      cancel();
    }
  }

  /** Ends the attempt and closes its connection. */
  void cancel() {
    close();
    BackendClient.Exchange open = exchange;
    if (open != null) {
      open.cancel();
    }
  }

  /** Stops reading the response until {@link #resumeReading}. */
  void pauseReading() {
    readingPaused = true;
    BackendClient.Exchange open = exchange;
    if (open != null) {
      open.pauseReading();
    }
  }

  /** Continues reading after {@link #pauseReading}. */
  void resumeReading() {
    readingPaused = false;
    BackendClient.Exchange open = exchange;
    if (open != null) {
      open.resumeReading();
    }
  }

  /** Returns whether the status and headers of a response have arrived. */
  boolean hasResponseBegun() {
    return responseBegun;
  }

  /** Returns true on the first call only. */
  boolean markFirstEvent(long nowNanos) {
    if (firstEventNanos.isPresent()) {
      return false;
    }
    firstEventNanos = OptionalLong.of(nowNanos);
    return true;
  }

  /** Returns whether the server has written its response for at least {@code duration}. */
  boolean hasWrittenFor(Duration duration, long nowNanos) {
    return firstEventNanos.isPresent()
        && nowNanos - firstEventNanos.getAsLong() >= duration.toNanos();
  }

  @Override
  public void onHead(BackendClient.Head head) {
    run(
        () -> {
          responseBegun = true;
          listener.onHead(this, head);
        });
  }

  /** Reserves memory for the chunk on the caller's thread, since it may have to wait. */
  @Override
  public void onBody(byte[] chunk) {
    boolean isReserved = buffer.reserve(chunk.length);
    if (waitingChunks.add(chunk, isReserved, exchange)) {
      executor.execute(this::handleWaitingChunks);
    }
  }

  private void handleWaitingChunks() {
    WaitingChunks.Batch batch = waitingChunks.take();
    if (batch.bytes().length > 0) {
      handleBody(batch.bytes());
    }
    if (batch.droppedBytes() > 0) {
      discardOrFail(batch.droppedBytes());
    }
    if (batch.isServerHeldBack() && !readingPaused) {
      resumeReading();
    }
  }

  private void handleBody(byte[] chunk) {
    if (closed) {
      discard(chunk.length);
      return;
    }
    long before = listener.bufferedBytes();
    listener.onBody(this, chunk);
    buffer.release(chunk.length + before - listener.bufferedBytes());
  }

  private void discardOrFail(long bytes) {
    if (closed) {
      discard(bytes);
    } else {
      listener.onFailure(this, true, BackendFailure.NO_BUFFER);
    }
  }

  private void onNoBuffer() {
    run(() -> listener.onFailure(this, true, BackendFailure.NO_BUFFER));
  }

  private void discard(long bytes) {
    discardedBytes += bytes;
    if (discardedBytes > MAX_DISCARDED_BYTES) {
      cancelUnlessEnded();
    }
  }

  @Override
  public void onEnd() {
    end(() -> listener.onEnd(this));
  }

  @Override
  public void onFailure(boolean maybeSent, BackendFailure failure) {
    end(() -> listener.onFailure(this, maybeSent, failure));
  }

  private void end(Runnable task) {
    executor.execute(() -> responseEnded = true);
    run(task);
  }

  private void run(Runnable task) {
    executor.execute(
        () -> {
          if (!closed) {
            task.run();
          }
        });
  }
}
