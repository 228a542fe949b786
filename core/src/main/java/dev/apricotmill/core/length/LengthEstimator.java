package dev.apricotmill.core.length;

import dev.apricotmill.core.request.ServiceName;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Estimates the number of tokens of a prompt from its size in bytes. The ratio is learned for each
 * service from the token counts that its engines report.
 *
 * <p>The mean and the mean deviation of the tokens per byte are smoothed as in RFC 6298.
 * Thread-safe.
 */
public final class LengthEstimator {

  private static final double INITIAL_TOKENS_PER_BYTE = 0.25;
  private static final double INITIAL_DEVIATION = INITIAL_TOKENS_PER_BYTE / 4;
  private static final double MEAN_GAIN = 1.0 / 8;
  private static final double DEVIATION_GAIN = 1.0 / 4;
  private static final double UPPER_ESTIMATE_DEVIATIONS = 4;
  private static final Ratio INITIAL = new Ratio(INITIAL_TOKENS_PER_BYTE, INITIAL_DEVIATION);

  private final ConcurrentHashMap<ServiceName, Ratio> ratios = new ConcurrentHashMap<>();

  /** Returns the estimate for a prompt of the given size; at least one token. */
  public LengthEstimate estimate(ServiceName service, long promptBytes) {
    Ratio ratio = ratios.getOrDefault(service, INITIAL);
    double upperRatio = ratio.mean + UPPER_ESTIMATE_DEVIATIONS * ratio.deviation;
    long tokens = Math.max(1, (long) Math.ceil(promptBytes * ratio.mean));
    long upper = Math.max(tokens, (long) Math.ceil(promptBytes * upperRatio));
    return new LengthEstimate(tokens, upper);
  }

  /** Records an engine's token count of a prompt. */
  public void observe(ServiceName service, long promptBytes, long promptTokens) {
    if (promptBytes <= 0 || promptTokens <= 0) {
      return;
    }
    double sample = (double) promptTokens / promptBytes;
    ratios.merge(service, INITIAL.updated(sample), (current, initial) -> current.updated(sample));
  }

  /** Removes the ratios of services that are no longer configured. */
  public void retainServices(Set<ServiceName> configured) {
    ratios.keySet().retainAll(configured);
  }

  private record Ratio(double mean, double deviation) {

    Ratio updated(double sample) {
      double error = sample - mean;
      double newDeviation = deviation + DEVIATION_GAIN * (Math.abs(error) - deviation);
      return new Ratio(mean + MEAN_GAIN * error, newDeviation);
    }
  }
}
