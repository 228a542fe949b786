package dev.apricotmill.core.steward;

import java.util.concurrent.TimeUnit;

/**
 * Holds short and medium prompts to their part of the prefill rate while a long prompt is there.
 *
 * <p>A token bucket that may fall into debt by one prompt. Not safe for use by several threads.
 */
final class ShortPromptLimiter {

  private final double otherShare;
  private final double burstTokens;
  private double level;
  private long filledAtNanos;

  /**
   * Creates a full bucket.
   *
   * @param longPromptShare the part of the prefill rate that is guaranteed to long prompts
   * @param burstTokens what short and medium prompts may take at once
   */
  ShortPromptLimiter(double longPromptShare, double burstTokens) {
    this.otherShare = 1 - longPromptShare;
    this.burstTokens = burstTokens;
    this.level = burstTokens;
  }

  /** Returns whether a short or medium prompt may go before the long one now. */
  boolean permits(double tokensPerSecond, long nowNanos) {
    fill(tokensPerSecond, nowNanos);
    return level > 0;
  }

  /** Notes a dispatched short or medium prompt. */
  void charge(long promptTokens) {
    level -= promptTokens;
  }

  /** Forgets what was used, because no long prompt is there. */
  void reset(long nowNanos) {
    level = burstTokens;
    filledAtNanos = nowNanos;
  }

  /** Returns the time until the next short or medium prompt is permitted. */
  long nanosUntilPermitted(double tokensPerSecond, long nowNanos) {
    if (permits(tokensPerSecond, nowNanos)) {
      return 0;
    }
    double seconds = (1 - level) / (tokensPerSecond * otherShare);
    return (long) Math.ceil(seconds * TimeUnit.SECONDS.toNanos(1));
  }

  private void fill(double tokensPerSecond, long nowNanos) {
    double seconds = (double) Math.max(0, nowNanos - filledAtNanos) / TimeUnit.SECONDS.toNanos(1);
    filledAtNanos = nowNanos;
    level = Math.min(burstTokens, level + seconds * tokensPerSecond * otherShare);
  }
}
