package dev.apricotmill.node.relay;

import com.google.common.collect.ImmutableMap;
import dev.apricotmill.core.relay.Route;
import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.OptionalLong;
import org.jspecify.annotations.Nullable;

/**
 * What of an answer has come and what the caller has of it.
 *
 * <p>A stream begins with its first whole event and goes on in whole events, so that another server
 * can continue it. Any other answer is sent when it is whole.
 */
final class RelayResponse {

  /** An answer that is not streamed is kept until it is whole; a node has some hundred MB. */
  private static final int MAX_BUFFERED_BYTES = 8 << 20;

  private static final int SUCCESS_CLASS = 2;
  private static final int SERVER_ERROR_CLASS = 5;

  private final Route route;
  private final CallerConnection caller;
  private final FlowControlWindow window;
  private final SseEventAssembler assembler;
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private BackendClient.@Nullable Head head;
  private BackendClient.@Nullable Head fallbackHead;
  private byte @Nullable [] fallbackBody;
  private boolean begun;
  private boolean firstEventInChunk;
  private long firstEventNanos = -1;
  private long lastEventNanos = -1;
  private long longestEventGapNanos;

  RelayResponse(
      Route route, OptionalLong resumeAfter, CallerConnection caller, FlowControlWindow window) {
    this.route = route;
    this.caller = caller;
    this.window = window;
    assembler = new SseEventAssembler(resumeAfter);
  }

  void onHead(BackendClient.Head newHead) {
    head = newHead;
    body.reset();
  }

  /** Takes a piece; returns the bytes that went on to the caller. */
  int onBody(byte[] chunk, long nowNanos) {
    if (!isStream()) {
      body.writeBytes(chunk);
      return 0;
    }
    byte[] completeEvents = assembler.add(chunk);
    if (completeEvents.length == 0 || assembler.isOutOfOrder()) {
      return 0;
    }
    firstEventInChunk = !begun;
    if (firstEventInChunk) {
      begun = true;
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

  /** Returns whether the answer that is coming is a stream of events. */
  boolean isStream() {
    return route.kind() == Route.AnswerKind.STREAM && status() / 100 == SUCCESS_CLASS;
  }

  /** Returns whether the last piece held the first event. */
  boolean hasFirstEventInChunk() {
    return firstEventInChunk;
  }

  boolean hasBegun() {
    return begun;
  }

  boolean isOutOfOrder() {
    return assembler.isOutOfOrder();
  }

  boolean isTooLong() {
    return body.size() > MAX_BUFFERED_BYTES || assembler.isTooLong();
  }

  /** Returns whether an answer that ends now lacks a part, as far as can be seen. */
  boolean isIncomplete() {
    if (begun) {
      // A server that was to continue a stream may have answered with an error instead.
      return !isStream() || assembler.hasPartial();
    }
    return isStream();
  }

  boolean isServerError() {
    return !begun && status() / 100 == SERVER_ERROR_CLASS;
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

  /** Drops what came of an answer that broke off, less what the caller has. */
  void discardPartial() {
    assembler.discardPartial();
    body.reset();
    head = null;
  }

  /** Keeps a server's own failure, to be sent if no other server does better. */
  void keepAsFallback() {
    fallbackHead = head;
    fallbackBody = body.toByteArray();
    discardPartial();
  }

  /** Sends the failure that was kept; returns false if there is none. */
  boolean sendFallback() {
    BackendClient.Head kept = fallbackHead;
    byte[] keptBody = fallbackBody;
    if (kept == null || keptBody == null || begun) {
      return false;
    }
    caller.respond(kept.status(), kept.headers(), keptBody);
    return true;
  }

  /** Ends the answer, which is whole. */
  void complete() {
    if (begun) {
      caller.endStream();
    } else {
      caller.respond(status(), headers(), body.toByteArray());
    }
  }

  private int status() {
    BackendClient.Head current = head;
    return current == null ? 0 : current.status();
  }

  private ImmutableMap<String, String> headers() {
    BackendClient.Head current = head;
    return current == null ? ImmutableMap.of() : current.headers();
  }
}
