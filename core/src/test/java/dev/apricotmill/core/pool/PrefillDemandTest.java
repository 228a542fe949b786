package dev.apricotmill.core.pool;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

final class PrefillDemandTest {

  private static final double WORK_MILLIS = 3_400;
  private static final double VALUE = 9.5;

  private final PrefillDemand demand = new PrefillDemand();
  private double nowMillis;

  @Test
  void engineTimeIsFreeWhileEnginesHaveTimeToSpare() {
    arrive(3);

    assertThat(demand.pricePerMilli(60, nowMillis)).isEqualTo(0.0);
  }

  /** At 2.9 times the rate, a prompt that takes eight times as long is worth less than it costs. */
  @Test
  void atABurstAGiantPromptCostsMoreThanItIsWorth() {
    arrive(16);

    double price = demand.pricePerMilli(60, nowMillis);

    assertThat(price * WORK_MILLIS).isLessThan(VALUE);
    assertThat(price * 8 * WORK_MILLIS).isGreaterThan(VALUE);
  }

  @Test
  void thePriceEndsWithTheBurst() {
    arrive(16);
    nowMillis += 2_000;

    assertThat(demand.pricePerMilli(60, nowMillis)).isEqualTo(0.0);
  }

  @Test
  void theTimeUntilAPriceFallsIsTheTimeInWhichItHalves() {
    assertThat(PrefillDemand.millisUntilPrice(2, 1)).isWithin(1).of(1_386);
    assertThat(PrefillDemand.millisUntilPrice(1, 2)).isEqualTo(0.0);
  }

  private void arrive(double perSecond) {
    for (double endMillis = nowMillis + 10_000; nowMillis < endMillis; ) {
      nowMillis += 1_000 / perSecond;
      demand.record(WORK_MILLIS, VALUE, nowMillis);
    }
  }
}
