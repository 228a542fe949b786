package dev.apricotmill.core.pool;

import static com.google.common.truth.Truth.assertThat;

import dev.apricotmill.core.relay.EngineCostModel;
import org.junit.jupiter.api.Test;

final class EngineShareTest {

  private static final EngineCostModel COST_MODEL =
      new EngineCostModel(8, 197_200, 1.02, 0.007, 0.00254, 206, 0.138, 48, 14_400);
  private static final EngineShare.Needs NEEDS = new EngineShare.Needs(26, 309, 250, 0.5);

  @Test
  void theShareHoldsTheShortPromptsThatAreServedAtTheSameTime() {
    assertThat(share(78, 0.08).engineCount()).isEqualTo(24);
  }

  @Test
  void theShareGrowsWithTheRate() {
    assertThat(share(600, 0.4).engineCount()).isEqualTo(120);
    assertThat(share(600, 0.8).engineCount()).isEqualTo(240);
  }

  @Test
  void aFewEnginesAreKeptBeforeAnyShortPromptArrives() {
    assertThat(share(15, 0).engineCount()).isEqualTo(2);
  }

  @Test
  void longPromptsKeepEnginesAtAnyRate() {
    assertThat(share(15, 10).engineCount()).isAtMost(9);
    assertThat(share(78, 10).engineCount()).isAtMost(46);
  }

  @Test
  void noEngineIsKeptWhereThereIsOnlyOne() {
    assertThat(share(1, 1).isInForce()).isFalse();
  }

  /** A part and an iteration must leave time for a first event in 309 ms and gaps of 250 ms. */
  @Test
  void aPartInTheShareStaysUnderTheTightestTargets() {
    double partMillis = share(78, 0.08).budgetMillis(0, 55);

    assertThat(partMillis + 55).isAtMost(250.0);
    assertThat(partMillis + 26 + 2 * 55).isAtMost(309.0);
    assertThat(share(78, 0.08).budgetMillis(100, 55)).isWithin(0.001).of(partMillis - 100);
  }

  private static EngineShare share(int available, double perMilli) {
    return EngineShare.of(COST_MODEL, available, perMilli, 1_800, NEEDS);
  }
}
