package dev.apricotmill.node.relay;

import com.google.common.collect.ImmutableMap;
import dev.apricotmill.coordination.memory.BufferBudget;
import dev.apricotmill.coordination.memory.ChunkBuffer;
import dev.apricotmill.core.relay.Route;
import java.time.Duration;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.concurrent.Executor;
import org.jspecify.annotations.Nullable;

/**
 * The state of a response: what has been received from servers and what the caller has been sent.
 *
 * <p>A stream is passed on in complete events only, so that another server can resume it. Any other
 * response is sent once it is complete.
 */
final class RelayResponse {

  /** Responses that are not streamed are buffered whole. */
  private static final int MAX_BUFFERED_BYTES = 8 << 20;

  private static final int SUCCESS_CLASS = 2;
  private static final int SERVER_ERROR_CLASS = 5;

  private final Route route;
  private final CallerConnection caller;
  private final FlowControlWindow window;
  private final BufferBudget buffers;
  private final Executor executor;
  private final SseEventAssembler assembler;
  private final ChunkBuffer body = new ChunkBuffer();
  private BackendClient.@Nullable Head head;
  private BackendClient.@Nullable Head fallbackHead;
  private byte @Nullable [] fallbackBody;
  private BufferBudget.@Nullable Account fallbackBuffer;
  private volatile BufferBudget.@Nullable Account deliveryBuffer;
  private boolean streamBegun;
  private int streamStatus;
  private boolean firstEventInChunk;
  private long firstEventNanos = -1;
  private long lastEventNanos = -1;
  private long longestEventGapNanos;

  /**
   * Creates the state of a response of which nothing has been received.
   *
   * @param buffers the memory for the responses to all requests
   * @param executor runs the methods of this object
   */
  RelayResponse(
      Route route,
      OptionalLong resumeAfterEvent,
      CallerConnection caller,
      FlowControlWindow window,
      BufferBudget buffers,
      Executor executor) {
    this.route = route;
    this.caller = caller;
    this.window = window;
    this.buffers = buffers;
    this.executor = executor;
    assembler = new SseEventAssembler(resumeAfterEvent);
  }

  void onHead(BackendClient.Head newHead) {
    head = newHead;
    body.reset();
  }

  /** Adds a chunk and returns the number of bytes that were written to the caller. */
  int onBody(byte[] chunk, long nowNanos) {
    if (!isStream()) {
      body.add(chunk);
      return 0;
    }
    byte[] completeEvents = assembler.add(chunk);
    if (completeEvents.length == 0 || assembler.isOutOfOrder()) {
      return 0;
    }
    firstEventInChunk = !streamBegun;
    if (firstEventInChunk) {
      streamBegun = true;
      streamStatus = status();
      firstEventNanos = nowNanos;
      caller.beginStream(status(), headers());
    } else {
      longestEventGapNanos = Math.max(longestEventGapNanos, nowNanos - lastEventNanos);
    }
    lastEventNanos = nowNanos;
    window.add(completeEvents.length);
    caller.write(completeEvents);
    return completeEvents.length;
  }

  /** Returns whether the response that is being received is a stream of events. */
  boolean isStream() {
    return isStream(status());
  }

  /** Returns whether a response with this head can continue what the caller has been sent. */
  boolean canContinueWith(BackendClient.Head newHead) {
    return isStream(newHead.status());
  }

  private boolean isStream(int status) {
    return route.responseKind() == Route.ResponseKind.STREAM
        && status / 100 == SUCCESS_CLASS
        && (!streamBegun || status == streamStatus);
  }

  /** Returns whether the status of the response that is being received is a success. */
  boolean isSuccess() {
    return status() / 100 == SUCCESS_CLASS;
  }

  /** Returns the status of the response that is being received, or 0 before its head. */
  int status() {
    BackendClient.Head currentHead = head;
    return currentHead == null ? 0 : currentHead.status();
  }

  /** Returns the status that a caller gets if no further response comes; empty if it is refused. */
  OptionalInt statusToCaller() {
    if (streamBegun) {
      return OptionalInt.of(streamStatus);
    }
    BackendClient.Head keptHead = fallbackHead;
    return keptHead == null ? OptionalInt.empty() : OptionalInt.of(keptHead.status());
  }

  /** Returns whether the last chunk passed on contained the first event. */
  boolean hasFirstEventInChunk() {
    return firstEventInChunk;
  }

  boolean isStreamBegun() {
    return streamBegun;
  }

  /** Returns whether another server can go on after what the caller has been sent. */
  boolean canBeContinued() {
    return !streamBegun || assembler.lastId().isPresent();
  }

  boolean isOutOfOrder() {
    return assembler.isOutOfOrder();
  }

  /** Returns the bytes that were received and not sent to the caller yet. */
  long bufferedBytes() {
    return body.size() + (long) assembler.partialBytes();
  }

  boolean isTooLong() {
    return body.size() > MAX_BUFFERED_BYTES || assembler.isTooLong();
  }

  /** Returns whether a server that was to resume a stream has sent something else instead. */
  boolean isFailedResume() {
    return streamBegun && !isStream();
  }

  /** Returns whether a response that ends now is visibly incomplete. */
  boolean isIncomplete() {
    return isStream() && (!streamBegun || assembler.hasPartial());
  }

  boolean isServerError() {
    return !streamBegun && status() / 100 == SERVER_ERROR_CLASS;
  }

  OptionalLong lastEventId() {
    return assembler.lastId();
  }

  long firstEventMillis(long arrivedNanos) {
    return firstEventNanos < 0 ? -1 : Duration.ofNanos(firstEventNanos - arrivedNanos).toMillis();
  }

  long longestEventGapMillis() {
    return Duration.ofNanos(longestEventGapNanos).toMillis();
  }

  /** Discards the part of a broken response that was not yet sent to the caller. */
  void discardPartial() {
    assembler.discardPartial();
    body.reset();
    head = null;
  }

  /** Keeps a server's error response, to be sent if the retry fails, unless memory is short. */
  void keepAsFallback() {
    dropFallback();
    BufferBudget.Account buffer = buffers.openRevocable(() -> executor.execute(this::dropFallback));
    if (buffer.reserve(body.size())) {
      fallbackHead = head;
      fallbackBody = body.toByteArray();
      fallbackBuffer = buffer;
    } else {
      buffer.close();
    }
    discardPartial();
  }

  /** Drops the error response that was kept. */
  void dropFallback() {
    fallbackHead = null;
    fallbackBody = null;
    BufferBudget.Account buffer = fallbackBuffer;
    if (buffer != null) {
      buffer.close();
    }
  }

  /** Sends the error response that was kept; returns false if there is none. */
  boolean sendFallback() {
    BackendClient.Head keptHead = fallbackHead;
    byte[] keptBody = fallbackBody;
    if (keptHead == null || keptBody == null || streamBegun) {
      return false;
    }
    respond(keptHead.status(), keptHead.headers(), keptBody);
    return true;
  }

  /** Ends a complete response. */
  void complete() {
    if (streamBegun) {
      caller.endStream();
    } else {
      respond(status(), headers(), body.toByteArray());
    }
  }

  private void respond(int status, ImmutableMap<String, String> headers, byte[] wholeBody) {
    if (wholeBody.length > 0) {
      BufferBudget.Account buffer = buffers.open();
      buffer.add(wholeBody.length);
      deliveryBuffer = buffer;
    }
    caller.respond(status, headers, wholeBody);
  }

  /** Records that the caller has taken the response, or has left. Thread-safe. */
  void onDelivered() {
    BufferBudget.Account buffer = deliveryBuffer;
    if (buffer != null) {
      buffer.close();
    }
  }

  private ImmutableMap<String, String> headers() {
    BackendClient.Head currentHead = head;
    return currentHead == null ? ImmutableMap.of() : currentHead.headers();
  }
}
