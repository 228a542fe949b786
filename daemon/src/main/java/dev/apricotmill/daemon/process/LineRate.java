package dev.apricotmill.daemon.process;

import com.google.errorprone.annotations.concurrent.GuardedBy;
import java.util.concurrent.TimeUnit;

/** Allows a number of lines a second, and that many at once after a quiet second. */
final class LineRate {

  private final double linesPerSecond;

  @GuardedBy("this")
  private double available;

  @GuardedBy("this")
  private long countedNanos;

  @GuardedBy("this")
  private boolean started;

  LineRate(int linesPerSecond) {
    this.linesPerSecond = linesPerSecond;
    available = linesPerSecond;
  }

  /** Takes the right to write one line at {@code nowNanos}, a reading of the steady clock. */
  synchronized boolean tryTake(long nowNanos) {
    if (started) {
      double seconds = (nowNanos - countedNanos) / (double) TimeUnit.SECONDS.toNanos(1);
      available = Math.min(linesPerSecond, available + Math.max(0, seconds) * linesPerSecond);
    }
    started = true;
    countedNanos = nowNanos;
    if (available < 1) {
      return false;
    }
    available--;
    return true;
  }
}
