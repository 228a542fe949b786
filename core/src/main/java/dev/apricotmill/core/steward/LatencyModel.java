package dev.apricotmill.core.steward;

import dev.apricotmill.core.configuration.EngineProfile;
import dev.apricotmill.core.configuration.Objective;
import dev.apricotmill.core.length.LengthClass;
import dev.apricotmill.core.request.GenerationRequest;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Predicts prefill, release and decode times from observed rates.
 *
 * <p>Not thread-safe.
 */
final class LatencyModel {

  private final double longPromptShare;
  private final ObservedRate decodeRate;
  private final DecayingSum releasedTokens;
  private final Map<LengthClass, DecayingSum> arrivedTokens = new EnumMap<>(LengthClass.class);
  private final Map<LengthClass, PredictionError> errors = new EnumMap<>(LengthClass.class);

  LatencyModel(EngineProfile profile, Objective objective) {
    this.longPromptShare = objective.longPromptShare();
    double horizonSeconds = profile.memoryTokens() / profile.prefillTokensPerSecond();
    this.decodeRate = new ObservedRate(profile.decodeTokensPerSecond(), profile.memoryTokens());
    this.releasedTokens = new DecayingSum(horizonSeconds);
    for (LengthClass lengthClass : LengthClass.values()) {
      arrivedTokens.put(lengthClass, new DecayingSum(horizonSeconds));
      errors.put(lengthClass, new PredictionError());
    }
  }

  /** Records an admitted prompt. */
  void onArrival(LengthClass lengthClass, long promptTokens, long nowNanos) {
    arrivals(lengthClass).add((double) promptTokens, nowNanos);
  }

  /** Records that memory was released. */
  void onRelease(long tokens, long nowNanos) {
    releasedTokens.add((double) tokens, nowNanos);
  }

  /** Records the decode time of a response. */
  void onDecodeEnd(int maximumOutputTokens, long nanos) {
    decodeRate.observe(maximumOutputTokens, nanos);
  }

  /** Records a predicted and an actual time to first token. */
  void onFirstToken(LengthClass lengthClass, double predictedSeconds, long actualNanos) {
    predictionError(lengthClass).observe(predictedSeconds, seconds(actualNanos));
  }

  /** Returns the prefill rate that shorter prompts leave to a class, in tokens per second. */
  double prefillRateFor(LengthClass lengthClass, double tokensPerSecond, long nowNanos) {
    if (!lengthClass.isLong()) {
      return tokensPerSecond;
    }
    double shorterPromptRate = 0;
    for (LengthClass other : LengthClass.values()) {
      if (other.compareTo(lengthClass) < 0) {
        shorterPromptRate += arrivals(other).perSecond(nowNanos);
      }
    }
    return Math.max(tokensPerSecond * longPromptShare, tokensPerSecond - shorterPromptRate);
  }

  /** Predicts the time until that much memory is released, in seconds. */
  double secondsUntilReleased(long tokens, double tokensPerSecond, long nowNanos) {
    if (tokens <= 0) {
      return 0;
    }
    double observed = releasedTokens.perSecond(nowNanos);
    return tokens / Math.max(observed, tokensPerSecond * longPromptShare);
  }

  /** Predicts the time from the first token to the end of the response, in seconds. */
  double decodeSeconds(GenerationRequest request) {
    return request.maximumOutputTokens() / decodeRate.tokensPerSecond();
  }

  /** Returns the factor from the predicted time to first token of a class to its upper bound. */
  double upperBoundFactor(LengthClass lengthClass) {
    return predictionError(lengthClass).upperFactor();
  }

  static double seconds(long nanos) {
    return (double) nanos / TimeUnit.SECONDS.toNanos(1);
  }

  private DecayingSum arrivals(LengthClass lengthClass) {
    return arrivedTokens.computeIfAbsent(lengthClass, unused -> new DecayingSum(1));
  }

  private PredictionError predictionError(LengthClass lengthClass) {
    return errors.computeIfAbsent(lengthClass, unused -> new PredictionError());
  }
}
