package dev.apricotmill.core.steward;

import java.util.concurrent.TimeUnit;

/**
 * A rate in tokens a second that starts from the profile and follows what was observed.
 *
 * <p>Old observations fade as new tokens come in. Not safe for use by several threads.
 */
final class ObservedRate {

  private final double horizonTokens;
  private double tokens;
  private double seconds;

  /**
   * Creates an estimate.
   *
   * @param initialTokensPerSecond the rate to start from
   * @param horizonTokens the number of tokens after which an observation has mostly faded
   */
  ObservedRate(double initialTokensPerSecond, double horizonTokens) {
    this.horizonTokens = Math.max(1, horizonTokens);
    this.tokens = this.horizonTokens;
    this.seconds = this.horizonTokens / initialTokensPerSecond;
  }

  /** Notes that some tokens took some time. */
  void observe(double observedTokens, long nanos) {
    double decay = Math.exp(-observedTokens / horizonTokens);
    tokens = tokens * decay + observedTokens;
    seconds = seconds * decay + (double) nanos / TimeUnit.SECONDS.toNanos(1);
  }

  /** Returns the rate in tokens a second. */
  double tokensPerSecond() {
    return tokens / Math.max(seconds, Double.MIN_NORMAL);
  }
}
