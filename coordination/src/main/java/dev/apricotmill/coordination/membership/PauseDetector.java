package dev.apricotmill.coordination.membership;

import java.time.Duration;

/**
 * Notices that this process was frozen, by a gap between two ticks of its monotonic clock.
 *
 * <p>A process that was frozen must assume that others took over its duties. The check reads one
 * volatile field, so that it can stand right before every dispatch.
 */
final class PauseDetector {

  private final long thresholdNanos;
  private volatile long lastTickNanos;

  PauseDetector(Duration threshold, long nowNanos) {
    this.thresholdNanos = threshold.toNanos();
    this.lastTickNanos = nowNanos;
  }

  /** Returns whether the process was frozen since the last tick. */
  boolean wasPaused(long nowNanos) {
    return nowNanos - lastTickNanos > thresholdNanos;
  }

  /** Records that the process is running. */
  void recordTick(long nowNanos) {
    lastTickNanos = nowNanos;
  }
}
