package dev.apricotmill.core.steward;

import java.util.concurrent.TimeUnit;

/**
 * Limits short and medium prompts to their share of the prefill rate while a long prompt is being
 * prefilled.
 *
 * <p>A token bucket whose level may go below 0 by one prompt. Not thread-safe.
 */
final class ShortPromptLimiter {

  private final double shortPromptShare;
  private final double burstTokens;
  private double availableTokens;
  private long refilledAtNanos;

  /**
   * Creates a full bucket.
   *
   * @param longPromptShare the share of the prefill rate that is guaranteed to long prompts
   * @param burstTokens the capacity of the bucket in prompt tokens
   */
  ShortPromptLimiter(double longPromptShare, double burstTokens) {
    this.shortPromptShare = 1 - longPromptShare;
    this.burstTokens = burstTokens;
    this.availableTokens = burstTokens;
  }

  /** Returns whether a short or medium prompt may be dispatched before the long one now. */
  boolean permits(double tokensPerSecond, long nowNanos) {
    refill(tokensPerSecond, nowNanos);
    return availableTokens > 0;
  }

  /** Takes the tokens of a dispatched short or medium prompt from the bucket. */
  void consume(long promptTokens) {
    availableTokens -= promptTokens;
  }

  /** Refills the bucket, because no long prompt is being prefilled. */
  void reset(long nowNanos) {
    availableTokens = burstTokens;
    refilledAtNanos = nowNanos;
  }

  /** Returns the time until the next short or medium prompt is permitted, in nanoseconds. */
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
