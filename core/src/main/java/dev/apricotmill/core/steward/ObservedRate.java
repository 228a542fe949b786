package dev.apricotmill.core.steward;

import java.util.concurrent.TimeUnit;

/**
 * A rate in tokens per second that starts from a configured value and follows observations.
 *
 * <p>Old observations decay with the number of tokens observed since. Not thread-safe.
 */
final class ObservedRate {

  private final double horizonTokens;
  private double tokens;
  private double seconds;

  /**
   * Creates an estimate.
   *
   * @param initialTokensPerSecond the rate to start from
   * @param horizonTokens the number of tokens after which the weight of an observation is 1/e
   */
  ObservedRate(double initialTokensPerSecond, double horizonTokens) {
    this.horizonTokens = Math.max(1, horizonTokens);
    this.tokens = this.horizonTokens;
    this.seconds = this.horizonTokens / initialTokensPerSecond;
  }

  /** Records that processing {@code observedTokens} took {@code nanos}. */
  void observe(double observedTokens, long nanos) {
    double decay = Math.exp(-observedTokens / horizonTokens);
    tokens = tokens * decay + observedTokens;
    seconds = seconds * decay + (double) nanos / TimeUnit.SECONDS.toNanos(1);
  }

  /** Returns the rate in tokens per second. */
  double tokensPerSecond() {
    return tokens / Math.max(seconds, Double.MIN_NORMAL);
  }
}
