package dev.apricotmill.core.pool;

import java.util.concurrent.TimeUnit;

/**
 * A decaying record of how one server has answered, and the weight that follows from it.
 *
 * <p>The weight is a power of the estimated share of good answers. A server without recent answers
 * counts as good, so that one that has recovered is tried again and regains its share within
 * seconds. Not thread-safe.
 */
final class AnswerRecord {

  /** A server that fails in turns of 1.4 s is avoided for most of a turn and not much longer. */
  private static final double HALF_LIFE_SECONDS = 1.5;

  /** Good answers that each server is assumed to have given. */
  private static final double ASSUMED_GOOD_ANSWERS = 0.5;

  /** A server with every third answer bad gets about a tenth of the requests of a good one. */
  private static final double EXPONENT = 5;

  /** Bounds how long a server that has failed everything waits for its next request. */
  private static final double MIN_WEIGHT = 0.01;

  /** At least this weight counts in full, so that old failures do not order the good servers. */
  private static final double FULL_WEIGHT = 0.7;

  private double badAnswers;
  private double allAnswers;
  private double sent;
  private long decayedAtNanos;

  AnswerRecord(long nowNanos) {
    decayedAtNanos = nowNanos;
  }

  void onSent(long nowNanos) {
    decay(nowNanos);
    sent++;
  }

  void onAnswer(boolean good, long nowNanos) {
    decay(nowNanos);
    allAnswers++;
    if (!good) {
      badAnswers++;
    }
  }

  /** Returns the requests that were sent recently, in which earlier ones count less. */
  double recentlySent(long nowNanos) {
    decay(nowNanos);
    return sent;
  }

  /** Returns the weight of the server: 1 for a good one, close to 0 for one that fails all. */
  double weight(long nowNanos) {
    decay(nowNanos);
    double goodShare = 1 - badAnswers / (allAnswers + ASSUMED_GOOD_ANSWERS);
    double weight = Math.pow(goodShare, EXPONENT);
    return weight >= FULL_WEIGHT ? 1 : Math.max(MIN_WEIGHT, weight);
  }

  private void decay(long nowNanos) {
    double seconds = (double) Math.max(0, nowNanos - decayedAtNanos) / TimeUnit.SECONDS.toNanos(1);
    double factor = Math.pow(0.5, seconds / HALF_LIFE_SECONDS);
    badAnswers *= factor;
    allAnswers *= factor;
    sent *= factor;
    decayedAtNanos = nowNanos;
  }
}
