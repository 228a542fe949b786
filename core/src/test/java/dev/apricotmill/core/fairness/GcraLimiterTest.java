package dev.apricotmill.core.fairness;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class GcraLimiterTest {

  private static final long COST = GcraLimiter.cost(1, 10);

  private final GcraLimiter rate = new GcraLimiter(Duration.ofMillis(900), 0);

  @Test
  void noMoreThanTheRateIsAllowedInASecondThatFollowsAFullOne() {
    assertThat(taken(0, 50)).isEqualTo(10);

    int allowed = 0;
    for (int millis = 10; millis <= 1_000; millis += 10) {
      allowed += taken(millis, 5);
    }
    assertThat(allowed).isAtLeast(9);
    assertThat(allowed).isAtMost(10);
  }

  @Test
  void quietTimeGivesBackOneBurstAtMost() {
    taken(0, 50);
    assertThat(taken(60_000, 50)).isEqualTo(10);
  }

  @Test
  void whatIsGivenBackCanBeTakenAgain() {
    taken(0, 50);
    rate.refund(2 * COST);
    assertThat(taken(0, 50)).isEqualTo(2);
  }

  @Test
  void aRateThatOwesNothingIsIdle() {
    assertThat(rate.isIdle(0)).isTrue();
    taken(0, 1);
    assertThat(rate.isIdle(0)).isFalse();
    assertThat(rate.isIdle(COST)).isTrue();
  }

  private int taken(long millis, int tries) {
    int allowed = 0;
    for (int i = 0; i < tries; i++) {
      if (rate.take(COST, TimeUnit.MILLISECONDS.toNanos(millis)) == 0) {
        allowed++;
      }
    }
    return allowed;
  }
}
