package dev.apricotmill.core.steward;

import dev.apricotmill.core.configuration.EngineProfile;
import dev.apricotmill.core.configuration.Objective;
import dev.apricotmill.core.length.LengthClass;
import dev.apricotmill.core.request.GenerationRequest;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Predicts times to first token and to the end of an answer from observed rates.
 *
 * <p>Not safe for use by several threads.
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

  /** Notes an admitted prompt. */
  void onArrival(LengthClass lengthClass, long promptTokens, long nowNanos) {
    arrivals(lengthClass).add((double) promptTokens, nowNanos);
  }

  /** Notes that memory was given back. */
  void onRelease(long tokens, long nowNanos) {
    releasedTokens.add((double) tokens, nowNanos);
  }

  /** Notes the time that the generation of an answer took. */
  void onDecodeEnd(int maximumOutputTokens, long nanos) {
    decodeRate.observe(maximumOutputTokens, nanos);
  }

  /** Notes a predicted and a true time to first token. */
  void onFirstToken(LengthClass lengthClass, double predictedSeconds, long actualNanos) {
    predictionError(lengthClass).observe(predictedSeconds, seconds(actualNanos));
  }

  /** Returns the part of the prefill rate that shorter prompts leave to a class. */
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

  /** Returns the time until that much memory comes free. */
  double secondsUntilReleased(long tokens, double tokensPerSecond, long nowNanos) {
    if (tokens <= 0) {
      return 0;
    }
    double observed = releasedTokens.perSecond(nowNanos);
    return tokens / Math.max(observed, tokensPerSecond * longPromptShare);
  }

  /** Returns the time from the first token to the end of an answer. */
  double decodeSeconds(GenerationRequest request) {
    return request.maximumOutputTokens() / decodeRate.tokensPerSecond();
  }

  /** Returns the factor by which a cautious prediction of a class is longer. */
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
