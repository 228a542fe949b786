package dev.apricotmill.node.relay;

import java.time.Duration;

/** The course of a planned stop: until when requests are accepted, and when the stop is over. */
public final class PlannedStop {

  /** The part of the grace period that is reserved for ending the process. */
  private static final Duration END_MARGIN = Duration.ofMillis(300);

  /** The platform removes a node after two failed readiness probes, sent once per second. */
  private static final Duration MIN_DURATION = Duration.ofMillis(2500);

  /** Requests are accepted for this long after the stop signal: callers may not know of it yet. */
  private static final Duration ACCEPT_DURATION = Duration.ofSeconds(3);

  /** What the node does with requests. */
  public enum Phase {
    /** Requests are accepted. */
    ACCEPTING,
    /** Requests are refused as not run; open ones continue. */
    REFUSING,
    /** The process may end. */
    OVER
  }

  private final long startNanos;
  private final long overNanos;
  private volatile Phase phase = Phase.ACCEPTING;
  private volatile boolean acceptanceEnded;

  /** Begins a stop whose process is killed after {@code grace}. */
  public PlannedStop(long startNanos, Duration grace) {
    this.startNanos = startNanos;
    overNanos = grace.minus(END_MARGIN).toNanos();
  }

  /** Returns the phase that the stop is in now. */
  public Phase advance(long nowNanos, long openRequests) {
    long elapsedNanos = nowNanos - startNanos;
    if (elapsedNanos >= MIN_DURATION.toNanos()
        && (elapsedNanos >= overNanos || openRequests == 0)) {
      phase = Phase.OVER;
    } else if (elapsedNanos > ACCEPT_DURATION.toNanos()) {
      phase = Phase.REFUSING;
      acceptanceEnded = true;
    }
    return phase;
  }

  /** Returns whether new requests are accepted. */
  public boolean isAccepting() {
    return !acceptanceEnded;
  }
}
