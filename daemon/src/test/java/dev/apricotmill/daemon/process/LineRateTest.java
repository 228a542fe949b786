package dev.apricotmill.daemon.process;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class LineRateTest {

  private final LineRate rate = new LineRate(10);

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
  void quietTimeGivesBackOneSecondsLinesAtMost() {
    taken(0, 50);
    assertThat(taken(60_000, 50)).isEqualTo(10);
  }

  private int taken(long millis, int tries) {
    int allowed = 0;
    for (int i = 0; i < tries; i++) {
      if (rate.tryTake(TimeUnit.MILLISECONDS.toNanos(millis))) {
        allowed++;
      }
    }
    return allowed;
  }
}
