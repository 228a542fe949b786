package dev.apricotmill.core.pool;

/**
 * The rate at which prompts of one class arrive, from arrivals whose weight decays.
 *
 * <p>Designed for a mix that turns within a second: of a fast and a slow mean the higher one
 * counts, so that a rise shows within 0.3 s and a pause between two bursts is not taken for a fall.
 */
final class ArrivalRate {

  /** Shorter than the second in which the mix turns; at 30 a second it covers nine arrivals. */
  private static final double FAST_MILLIS = 300;

  /** Long enough that a gap between bursts of a second does not release the engines. */
  private static final double SLOW_MILLIS = 2_000;

  private double fastPerMilli;
  private double slowPerMilli;
  private double updatedMillis;

  /** Records an arrival. */
  void record(double nowMillis) {
    decay(nowMillis);
    fastPerMilli += 1 / FAST_MILLIS;
    slowPerMilli += 1 / SLOW_MILLIS;
  }

  /** Returns the rate in arrivals a millisecond. */
  double perMilli(double nowMillis) {
    decay(nowMillis);
    return Math.max(fastPerMilli, slowPerMilli);
  }

  private void decay(double nowMillis) {
    double elapsedMillis = Math.max(0, nowMillis - updatedMillis);
    if (elapsedMillis > 0) {
      fastPerMilli *= Math.exp(-elapsedMillis / FAST_MILLIS);
      slowPerMilli *= Math.exp(-elapsedMillis / SLOW_MILLIS);
      updatedMillis = nowMillis;
    }
  }
}
