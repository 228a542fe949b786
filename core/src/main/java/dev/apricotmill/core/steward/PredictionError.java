package dev.apricotmill.core.steward;

/**
 * How much longer requests took than predicted, as a factor that is seldom passed.
 *
 * <p>Mean and mean deviation follow the estimator of RFC 6298. Not safe for use by several threads.
 */
final class PredictionError {

  private static final double MEAN_GAIN = 1.0 / 8;
  private static final double DEVIATION_GAIN = 1.0 / 4;
  private static final double DEVIATIONS_TO_UPPER = 4;

  private double mean = 1;
  private double deviation;

  /** Notes a predicted and a true time. */
  void observe(double predicted, double actual) {
    if (predicted <= 0) {
      return;
    }
    double error = actual / predicted - mean;
    mean += MEAN_GAIN * error;
    deviation += DEVIATION_GAIN * (Math.abs(error) - deviation);
  }

  /** Returns the factor for a cautious prediction, at least 1. */
  double upperFactor() {
    return Math.max(1, mean + DEVIATIONS_TO_UPPER * deviation);
  }
}
