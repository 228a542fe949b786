package dev.apricotmill.core.steward;

import java.util.concurrent.TimeUnit;

/**
 * Holds short and medium prompts to their part of the prefill rate while a long prompt is there.
 *
 * <p>A token bucket that may fall into debt by one prompt. Not safe for use by several threads.
 */
final class ShortPromptLimiter {

  private final double shortPromptShare;
  private final double burstTokens;
  private double availableTokens;
  private long refilledAtNanos;

  /**
   * Creates a full bucket.
   *
   * @param longPromptShare the part of the prefill rate that is guaranteed to long prompts
   * @param burstTokens what short and medium prompts may take at once
   */
  ShortPromptLimiter(double longPromptShare, double burstTokens) {
    this.shortPromptShare = 1 - longPromptShare;
    this.burstTokens = burstTokens;
    this.availableTokens = burstTokens;
  }

  /** Returns whether a short or medium prompt may go before the long one now. */
  boolean permits(double tokensPerSecond, long nowNanos) {
    refill(tokensPerSecond, nowNanos);
    return availableTokens > 0;
  }

  /** Notes a dispatched short or medium prompt. */
  void consume(long promptTokens) {
    availableTokens -= promptTokens;
  }

  /** Forgets what was used, because no long prompt is there. */
  void reset(long nowNanos) {
    availableTokens = burstTokens;
    refilledAtNanos = nowNanos;
  }

  /** Returns the time until the next short or medium prompt is permitted. */
  long nanosUntilPermitted(double tokensPerSecond, long nowNanos) {
    if (permits(tokensPerSecond, nowNanos)) {
      return 0;
    }
    double seconds = (1 - availableTokens) / (tokensPerSecond * shortPromptShare);
    return (long) Math.ceil(seconds * TimeUnit.SECONDS.toNanos(1));
  }

  private void refill(double tokensPerSecond, long nowNanos) {
    double seconds = (double) Math.max(0, nowNanos - refilledAtNanos) / TimeUnit.SECONDS.toNanos(1);
    refilledAtNanos = nowNanos;
    availableTokens =
        Math.min(burstTokens, availableTokens + seconds * tokensPerSecond * shortPromptShare);
  }
}
