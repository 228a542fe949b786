package dev.apricotmill.core.steward;

/**
 * Estimates the ratio of actual to predicted times, as an upper bound that is seldom exceeded.
 *
 * <p>Mean and mean deviation follow the estimator of RFC 6298. Not thread-safe.
 */
final class PredictionError {

  private static final double MEAN_GAIN = 1.0 / 8;
  private static final double DEVIATION_GAIN = 1.0 / 4;
  private static final double DEVIATIONS_TO_UPPER = 4;

  private double mean = 1;
  private double deviation;

  /** Records a predicted and an actual time. */
  void observe(double predicted, double actual) {
    if (predicted <= 0) {
      return;
    }
    double error = actual / predicted - mean;
    mean += MEAN_GAIN * error;
    deviation += DEVIATION_GAIN * (Math.abs(error) - deviation);
  }

  /** Returns the factor from a predicted time to its upper bound; at least 1. */
  double upperFactor() {
    return Math.max(1, mean + DEVIATIONS_TO_UPPER * deviation);
  }
}
