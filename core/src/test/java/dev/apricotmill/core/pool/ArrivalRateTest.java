package dev.apricotmill.core.pool;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

final class ArrivalRateTest {

  private final ArrivalRate rate = new ArrivalRate();
  private double nowMillis;

  @Test
  void aRateThatHoldsIsObserved() {
    arrive(80, 10_000);

    assertThat(rate.perMilli(nowMillis) * 1_000).isWithin(8).of(80);
  }

  /** The mix turns within one second: a slower mean leaves no engine for the first of them. */
  @Test
  void aRiseShowsWithinHalfASecond() {
    arrive(30, 10_000);
    arrive(192, 500);

    assertThat(rate.perMilli(nowMillis) * 1_000).isAtLeast(150.0);
  }

  @Test
  void aPauseOfASecondDoesNotReleaseTheEngines() {
    arrive(80, 10_000);
    nowMillis += 1_000;

    assertThat(rate.perMilli(nowMillis) * 1_000).isAtLeast(40.0);
  }

  @Test
  void whatNoLongerArrivesIsForgotten() {
    arrive(192, 10_000);
    nowMillis += 10_000;

    assertThat(rate.perMilli(nowMillis) * 1_000).isAtMost(2.0);
  }

  private void arrive(double perSecond, double forMillis) {
    double endMillis = nowMillis + forMillis;
    while (nowMillis < endMillis) {
      nowMillis += 1_000 / perSecond;
      rate.record(nowMillis);
    }
  }
}
