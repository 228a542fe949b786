package dev.apricotmill.core.pool;

import dev.apricotmill.core.relay.EngineCostModel;

/**
 * The first engines of a pool, which are kept free of long parts for the short prompts that arrive
 * while such a part would be read.
 *
 * <p>Designed for pools where a long prompt needs several engines: with a part of 0.2 to 2 s
 * pending on nearly each of them, short prompts find no engine that can serve them in 309 ms.
 *
 * @param engineCount the number of engines
 * @param arrivalsPerMilli the short prompts that arrive for each of these engines
 * @param needs what the short prompts need
 * @param pricePerMilli the value that a millisecond of engine time has for other prompts
 */
record EngineShare(int engineCount, double arrivalsPerMilli, Needs needs, double pricePerMilli) {

  /** No engine is kept free, and placements do not consider what arrives later. */
  static final EngineShare NONE = new EngineShare(0, 0, new Needs(0, 0, 0, 0), 0);

  /** The fewest engines that are kept free, so that a first burst finds more than one. */
  private static final int MIN_ENGINES = 2;

  /** Long prompts keep at least this share of the engines, so that they advance. */
  private static final double MIN_SHARE_OF_LONG_PROMPTS = 0.4;

  /** Slots that packing leaves free on each engine. */
  private static final int SPARE_SLOTS = 2;

  /** The fraction of a latency target that a plan may use; iterations and network add delay. */
  private static final double USABLE_TARGET_SHARE = 0.8;

  /**
   * What a short prompt needs.
   *
   * @param prefillMillis the time in which it is prefilled
   * @param firstEventTargetMillis the target of its first event
   * @param eventGapTargetMillis the target of the gaps between its events
   * @param value its value, see {@link EngineCostModel#relativeValue}
   */
  record Needs(
      double prefillMillis,
      double firstEventTargetMillis,
      double eventGapTargetMillis,
      double value) {}

  /**
   * Returns the share for a rate.
   *
   * @param available the engines that may be used now
   * @param perMilli the short prompts that arrive each millisecond
   * @param residenceMillis how long a short prompt occupies a slot
   */
  static EngineShare of(
      EngineCostModel costModel,
      int available,
      double perMilli,
      double residenceMillis,
      Needs needs) {
    int slots = Math.max(1, costModel.slots() - SPARE_SLOTS);
    int needed = (int) Math.ceil(perMilli * residenceMillis / slots);
    int most = (int) (available * (1 - MIN_SHARE_OF_LONG_PROMPTS));
    int count = Math.min(most, Math.max(MIN_ENGINES, needed));
    return count == 0 ? NONE : new EngineShare(count, perMilli / count, needs, 0);
  }

  /** Returns the share with a price of engine time, in value for each millisecond. */
  EngineShare withPricePerMilli(double newPricePerMilli) {
    return new EngineShare(engineCount, arrivalsPerMilli, needs, newPricePerMilli);
  }

  /** Returns whether the share is in force. */
  boolean isInForce() {
    return engineCount > 0;
  }

  /**
   * Returns the longest part after which an engine still serves a short prompt that arrives now.
   *
   * @param pendingMillis the prefill that is pending there
   * @param iterationMillis the time of an iteration that only decodes
   */
  double budgetMillis(double pendingMillis, double iterationMillis) {
    double firstEvent =
        needs.firstEventTargetMillis() * USABLE_TARGET_SHARE
            - needs.prefillMillis()
            - 2 * iterationMillis;
    double gap = needs.eventGapTargetMillis() * USABLE_TARGET_SHARE - iterationMillis;
    return Math.min(firstEvent, gap) - pendingMillis;
  }

  /** Returns the value of the short prompts that arrive each millisecond for one engine. */
  double arrivingValuePerMilli() {
    return arrivalsPerMilli * needs.value();
  }
}
