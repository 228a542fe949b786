package dev.apricotmill.core.fairness;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class GcraLimiterTest {

  private static final long COST = GcraLimiter.cost(1, 10);

  private final GcraLimiter limiter = new GcraLimiter(Duration.ofMillis(900), 0);

  @Test
  void theSecondAfterAFullBurstAllowsNoMoreThanTheRate() {
    assertThat(taken(0, 50)).isEqualTo(10);

    int allowed = 0;
    for (int millis = 10; millis <= 1_000; millis += 10) {
      allowed += taken(millis, 5);
    }
    assertThat(allowed).isAtLeast(9);
    assertThat(allowed).isAtMost(10);
  }

  @Test
  void idleTimeRestoresAtMostOneBurst() {
    taken(0, 50);
    assertThat(taken(60_000, 50)).isEqualTo(10);
  }

  @Test
  void aRefundedAmountCanBeTakenAgain() {
    taken(0, 50);
    limiter.refund(2 * COST);
    assertThat(taken(0, 50)).isEqualTo(2);
  }

  @Test
  void aLimiterWithoutDebtIsIdle() {
    assertThat(limiter.isIdle(0)).isTrue();
    taken(0, 1);
    assertThat(limiter.isIdle(0)).isFalse();
    assertThat(limiter.isIdle(COST)).isTrue();
  }

  private int taken(long millis, int tries) {
    int allowed = 0;
    for (int i = 0; i < tries; i++) {
      if (limiter.take(COST, TimeUnit.MILLISECONDS.toNanos(millis)) == 0) {
        allowed++;
      }
    }
    return allowed;
  }
}
