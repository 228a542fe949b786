package dev.apricotmill.core.pool;

import dev.apricotmill.core.relay.EngineCostModel;

/**
 * The short prompts of a pool as its dispatcher sees them arrive and end: their rate, what they
 * need of an engine, and how soon they must be served.
 *
 * <p>Designed for days on which short prompts rise from 0.38 to 2.4 times their rate within a
 * second, while parts of long prompts of up to 2 s are pending on the engines that they need.
 */
final class ShortPromptLoad {

  /** The weight of the newest observation in a mean. */
  private static final double NEWEST_WEIGHT = 0.05;

  private final ArrivalRate rate = new ArrivalRate();
  private double prefillMillis;
  private double promptTokens;
  private double firstEventTargetMillis;
  private double eventGapTargetMillis;
  private double residenceMillis;

  /** Records the arrival of a short prompt. */
  void recordArrival(PlacementRequest request, double newPrefillMillis, double nowMillis) {
    rate.record(nowMillis);
    prefillMillis = mean(prefillMillis, newPrefillMillis);
    promptTokens = mean(promptTokens, (double) request.size().promptTokens());
    firstEventTargetMillis =
        mean(firstEventTargetMillis, (double) request.firstEventTarget().toMillis());
    eventGapTargetMillis = mean(eventGapTargetMillis, (double) request.eventGapTarget().toMillis());
  }

  /** Records how long a short prompt occupied a slot of its engine. */
  void recordEnd(double newResidenceMillis) {
    residenceMillis = mean(residenceMillis, newResidenceMillis);
  }

  private static double mean(double previous, double newest) {
    return previous == 0 ? newest : previous + NEWEST_WEIGHT * (newest - previous);
  }

  /**
   * Returns the engines that are kept free of long parts.
   *
   * @param engineCount the engines that may be used now
   */
  EngineShare share(EngineCostModel costModel, int engineCount, double nowMillis) {
    if (firstEventTargetMillis == 0) {
      return EngineShare.NONE;
    }
    double perMilli = rate.perMilli(nowMillis);
    return EngineShare.of(
        costModel,
        engineCount,
        perMilli,
        Math.max(residenceMillis, firstEventTargetMillis),
        new EngineShare.Needs(
            prefillMillis,
            firstEventTargetMillis,
            eventGapTargetMillis,
            costModel.relativeValue((long) promptTokens)));
  }
}
