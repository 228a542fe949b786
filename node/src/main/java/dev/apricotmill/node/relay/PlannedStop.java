package dev.apricotmill.node.relay;

import com.google.common.collect.Comparators;
import dev.apricotmill.core.relay.RetryPolicy;
import java.time.Duration;

/**
 * The course of a planned stop: which requests are accepted, when the open ones are ended, and when
 * the process may end.
 *
 * <p>Acceptance ends before anything else: a stop is over only if no request is open after that.
 */
public final class PlannedStop {

  /** The part of the grace period that is reserved for ending the process. */
  private static final Duration END_MARGIN = Duration.ofMillis(300);

  /** The part of the grace period that is reserved for sending final responses. */
  private static final Duration RESPONSE_MARGIN = Duration.ofMillis(200);

  /** The margins take at most this fraction of the grace period each. */
  private static final int MIN_GRACE_PER_MARGIN = 10;

  /** The platform removes a node after two failed readiness probes, sent once per second. */
  private static final Duration MIN_DURATION = Duration.ofMillis(2500);

  /** Requests are accepted for this long after the stop signal: callers may not know of it yet. */
  private static final Duration MAX_ACCEPT_DURATION = Duration.ofSeconds(3);

  /** Accepted requests get most of the grace period to end. */
  private static final double MAX_ACCEPT_FRACTION = 0.375;

  /** What the node does with requests; the phases follow each other in this order. */
  public enum Phase {
    /** Requests are accepted if they can end in time. */
    ACCEPTING,
    /** Requests are refused as not run; open ones continue. */
    REFUSING,
    /** Open requests get their final responses. */
    RESPONDING,
    /** The process may end. */
    OVER
  }

  private final long startNanos;
  private final long acceptNanos;
  private final long respondNanos;
  private final long overNanos;
  private final long minNanos;
  private volatile Phase phase = Phase.ACCEPTING;

  /** Begins a stop whose process is killed after {@code grace}. */
  public PlannedStop(long startNanos, Duration grace) {
    this.startNanos = startNanos;
    Duration maxMargin = grace.dividedBy(MIN_GRACE_PER_MARGIN);
    overNanos = grace.minus(Comparators.min(END_MARGIN, maxMargin)).toNanos();
    respondNanos = overNanos - Comparators.min(RESPONSE_MARGIN, maxMargin).toNanos();
    acceptNanos =
        Math.min(MAX_ACCEPT_DURATION.toNanos(), (long) (grace.toNanos() * MAX_ACCEPT_FRACTION));
    minNanos = Math.min(MIN_DURATION.toNanos(), respondNanos);
  }

  /**
   * Advances by at most one phase and returns the phase that the stop is in now.
   *
   * <p>The caller must apply a phase before it counts the open requests for the next call: a
   * request that was accepted in the phase before may be missing in an earlier count.
   */
  public Phase advance(long nowNanos, long openRequests) {
    phase = nextPhase(nowNanos - startNanos, openRequests == 0);
    return phase;
  }

  private Phase nextPhase(long elapsedNanos, boolean idle) {
    boolean mayEndEarly = idle && elapsedNanos >= minNanos;
    return switch (phase) {
      case ACCEPTING ->
          mayEndEarly || elapsedNanos >= acceptNanos ? Phase.REFUSING : Phase.ACCEPTING;
      case REFUSING -> {
        Phase later = elapsedNanos >= respondNanos ? Phase.RESPONDING : Phase.REFUSING;
        yield mayEndEarly ? Phase.OVER : later;
      }
      case RESPONDING -> idle || elapsedNanos >= overNanos ? Phase.OVER : Phase.RESPONDING;
      case OVER -> Phase.OVER;
    };
  }

  /** Returns whether a request may be accepted that {@link #fits}. */
  public boolean isAccepting(long nowNanos) {
    return phase == Phase.ACCEPTING && nowNanos - startNanos < acceptNanos;
  }

  /** Returns whether a request ends in time, or may be repeated elsewhere if it does not. */
  public boolean fits(RetryPolicy retryPolicy, long arrivedNanos, Duration timeLimit) {
    return retryPolicy.allowsRetry(true)
        || arrivedNanos - startNanos + timeLimit.toNanos() <= respondNanos;
  }
}
