package dev.apricotmill.core.pool;

import com.google.common.collect.Comparators;
import dev.apricotmill.core.request.RequestId;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * The slow start of one server instance: how many responses it may owe at a time.
 *
 * <p>Handles full load on a server that has just started or has failed. Each response that begins
 * on time allows one more request at a time, so that the number doubles with each round of
 * responses; a late one halves it. After a failure the server gets nothing for a short time and
 * then single requests, until one is answered. A failure of such a request doubles the time.
 *
 * <p>Not thread-safe.
 */
public final class ServerRamp {

  /** A server that has just started can run requests beside each other. */
  private static final int WINDOW_AFTER_START = 2;

  /** About the time in which a caller that was refused comes back. */
  static final Duration FIRST_RETRY_DELAY = Duration.ofMillis(250);

  /** A server that answers again must not be idle for long. */
  static final Duration MAX_RETRY_DELAY = Duration.ofSeconds(2);

  /** A server that has not failed for this time needs no ramp, also if few requests came. */
  static final Duration MAX_DURATION = Duration.ofSeconds(10);

  /** No caller waits longer for a response; nodes that have ended report no end. */
  static final Duration MAX_OPEN_TIME = Duration.ofSeconds(15);

  /** The wait that is told when the next response decides. */
  private static final Duration RESPONSE_WAIT = Duration.ofMillis(100);

  private final int fullWindow;
  private final long beganNanos;
  private final Map<RequestId, Open> open = new HashMap<>();
  private int window = WINDOW_AFTER_START;
  private long lastChangeNanos;
  private long retryNanos;
  private boolean retried;
  private Duration retryDelay = FIRST_RETRY_DELAY;

  /** A request whose response has not begun. */
  private record Open(long sentNanos, Duration allowed) {

    boolean isLate(long nowNanos) {
      return nowNanos - sentNanos > allowed.toNanos();
    }
  }

  /**
   * Creates the ramp of a server that has started.
   *
   * @param slots the requests that it runs concurrently
   */
  public ServerRamp(int slots, long nowNanos) {
    fullWindow = Math.max(1, slots);
    window = Math.min(window, fullWindow);
    beganNanos = nowNanos;
    lastChangeNanos = nowNanos;
    retryNanos = nowNanos;
  }

  /** Returns the time until the server may get a request; zero if it may now. */
  public Duration timeUntilFree(long nowNanos) {
    open.values().removeIf(request -> nowNanos - request.sentNanos() > MAX_OPEN_TIME.toNanos());
    if (open.size() >= Math.max(1, window)) {
      return RESPONSE_WAIT;
    }
    return window == 0 ? Duration.ofNanos(Math.max(0, retryNanos - nowNanos)) : Duration.ZERO;
  }

  /**
   * Records that a request goes to the server.
   *
   * @param allowed the time in which its response must begin to be on time
   */
  public void onGranted(RequestId request, Duration allowed, long nowNanos) {
    open.put(request, new Open(nowNanos, allowed));
    retried |= window == 0 && nowNanos - retryNanos >= 0;
  }

  /** Records that the response to a request has begun. */
  public void onAnswered(RequestId request, long nowNanos) {
    Open answered = open.remove(request);
    if (answered == null) {
      return;
    }
    if (answered.isLate(nowNanos)) {
      window = Math.max(1, window / 2);
    } else if (window < fullWindow) {
      window++;
    }
    retryDelay = FIRST_RETRY_DELAY;
  }

  /** Records that a request has ended before its response began. */
  public void onReleased(RequestId request, long nowNanos) {
    Open released = open.remove(request);
    if (released != null && released.isLate(nowNanos)) {
      window = Math.min(window, Math.max(1, window / 2));
    }
  }

  /** Records that the server refused a request, broke it off or could not be reached. */
  public void onFailure(long nowNanos) {
    lastChangeNanos = nowNanos;
    if (window == 0 && !retried) {
      // Requests that were open at the first failure fail with it.
      return;
    }
    if (window == 0) {
      retryDelay = Comparators.min(MAX_RETRY_DELAY, retryDelay.multipliedBy(2));
    }
    window = 0;
    retried = false;
    retryNanos = nowNanos + retryDelay.toNanos();
  }

  /** Returns whether the server needs no ramp any more. */
  public boolean isComplete(long nowNanos) {
    return window >= fullWindow || nowNanos - lastChangeNanos >= MAX_DURATION.toNanos();
  }

  /** Returns how many responses the server may owe; 0 if it is tried with single requests. */
  public int window() {
    return window;
  }

  /** Returns how long the ramp has lasted. */
  public Duration duration(long nowNanos) {
    return Duration.ofNanos(nowNanos - beganNanos);
  }
}
