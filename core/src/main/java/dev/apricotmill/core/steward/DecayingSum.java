package dev.apricotmill.core.steward;

import java.util.concurrent.TimeUnit;

/** An exponentially decaying sum of recent amounts. Not thread-safe. */
final class DecayingSum {

  private final double horizonSeconds;
  private double sum;
  private long decayedAtNanos;

  DecayingSum(double horizonSeconds) {
    this.horizonSeconds = horizonSeconds;
  }

  /** Adds an amount. */
  void add(double amount, long nowNanos) {
    decay(nowNanos);
    sum += amount;
  }

  /** Returns the recent amount per second. */
  double perSecond(long nowNanos) {
    decay(nowNanos);
    return sum / horizonSeconds;
  }

  private void decay(long nowNanos) {
    double seconds = (double) Math.max(0, nowNanos - decayedAtNanos) / TimeUnit.SECONDS.toNanos(1);
    sum *= Math.exp(-seconds / horizonSeconds);
    decayedAtNanos = nowNanos;
  }
}
