package dev.apricotmill.coordination.membership;

import java.time.Duration;

/**
 * Detects that this process was paused, by a gap on the monotonic clock since the last tick.
 *
 * <p>A process that was paused must assume that others took over its duties. The check reads one
 * volatile field, which is cheap enough to run right before every dispatch.
 */
final class PauseDetector {

  private final long thresholdNanos;
  private volatile long lastTickNanos;

  PauseDetector(Duration threshold, long nowNanos) {
    this.thresholdNanos = threshold.toNanos();
    this.lastTickNanos = nowNanos;
  }

  /** Returns whether the process was paused since the last tick. */
  boolean wasPaused(long nowNanos) {
    return nowNanos - lastTickNanos > thresholdNanos;
  }

  /** Records that the process is running at {@code nowNanos}. */
  void recordTick(long nowNanos) {
    lastTickNanos = nowNanos;
  }
}
