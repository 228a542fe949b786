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
final class RelayAnswer {

  /** An answer that is not streamed is kept until it is whole; a node has some hundred MB. */
  private static final int MOST_WHOLE_BYTES = 8 << 20;

  private static final int SUCCESS_CLASS = 2;
  private static final int SERVER_ERROR_CLASS = 5;

  private final Route route;
  private final RelayCaller caller;
  private final CallerWindow window;
  private final EventCutter events;
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private BackendPort.@Nullable Head head;
  private BackendPort.@Nullable Head fallbackHead;
  private byte @Nullable [] fallbackBody;
  private boolean begun;
  private boolean first;
  private long firstEventNanos = -1;
  private long lastEventNanos = -1;
  private long longestPauseNanos;

  RelayAnswer(Route route, OptionalLong resumeAfter, RelayCaller caller, CallerWindow window) {
    this.route = route;
    this.caller = caller;
    this.window = window;
    events = new EventCutter(resumeAfter);
  }

  void onHead(BackendPort.Head newHead) {
    head = newHead;
    body.reset();
  }

  /** Takes a piece; returns the bytes that went on to the caller. */
  int onBody(byte[] piece, long nowNanos) {
    if (!streams()) {
      body.writeBytes(piece);
      return 0;
    }
    byte[] whole = events.add(piece);
    if (whole.length == 0 || events.isOutOfOrder()) {
      return 0;
    }
    first = !begun;
    if (first) {
      begun = true;
      firstEventNanos = nowNanos;
      caller.begin(status(), headers());
    } else {
      longestPauseNanos = Math.max(longestPauseNanos, nowNanos - lastEventNanos);
    }
    lastEventNanos = nowNanos;
    window.add(whole.length);
    caller.write(whole);
    return whole.length;
  }

  /** Returns whether the answer that is coming is a stream of events. */
  boolean streams() {
    return route.responseKind() == Route.ResponseKind.STREAM && status() / 100 == SUCCESS_CLASS;
  }

  /** Returns whether the last piece held the first event. */
  boolean isFirst() {
    return first;
  }

  boolean hasBegun() {
    return begun;
  }

  boolean isOutOfOrder() {
    return events.isOutOfOrder();
  }

  boolean isTooLong() {
    return body.size() > MOST_WHOLE_BYTES || events.isTooLong();
  }

  /** Returns whether an answer that ends now lacks a part, as far as can be seen. */
  boolean isIncomplete() {
    if (begun) {
      // A server that was to continue a stream may have answered with an error instead.
      return !streams() || events.hasPartial();
    }
    return streams();
  }

  boolean isFailure() {
    return !begun && status() / 100 == SERVER_ERROR_CLASS;
  }

  OptionalLong lastEvent() {
    return events.lastId();
  }

  long firstEventMillis(long sinceNanos) {
    return firstEventNanos < 0 ? -1 : Duration.ofNanos(firstEventNanos - sinceNanos).toMillis();
  }

  long longestPauseMillis() {
    return Duration.ofNanos(longestPauseNanos).toMillis();
  }

  /** Drops what came of an answer that broke off, less what the caller has. */
  void onBreak() {
    events.dropPartial();
    body.reset();
    head = null;
  }

  /** Keeps a server's own failure, to be sent if no other server does better. */
  void keepAsFallback() {
    fallbackHead = head;
    fallbackBody = body.toByteArray();
    onBreak();
  }

  /** Sends the failure that was kept; returns false if there is none. */
  boolean sendFallback() {
    BackendPort.Head kept = fallbackHead;
    byte[] keptBody = fallbackBody;
    if (kept == null || keptBody == null || begun) {
      return false;
    }
    caller.answer(kept.status(), kept.headers(), keptBody);
    return true;
  }

  /** Ends the answer, which is whole. */
  void end() {
    if (begun) {
      caller.end();
    } else {
      caller.answer(status(), headers(), body.toByteArray());
    }
  }

  private int status() {
    BackendPort.Head current = head;
    return current == null ? 0 : current.status();
  }

  private ImmutableMap<String, String> headers() {
    BackendPort.Head current = head;
    return current == null ? ImmutableMap.of() : current.headers();
  }
}
