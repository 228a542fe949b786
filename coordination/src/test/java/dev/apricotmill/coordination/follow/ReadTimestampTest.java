package dev.apricotmill.coordination.follow;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class ReadTimestampTest {

  private static final Duration BOUND = Duration.ofMillis(4600);
  private static final long WALL = 1_800_000_000_000L;
  private final ReadTimestamp proof = new ReadTimestamp(0, WALL);

  @Test
  void aProofIsFreshUpToItsBound() {
    assertThat(proof.isFresh(nanos(4600), WALL + 4600, BOUND)).isTrue();
    assertThat(proof.isFresh(nanos(4601), WALL + 4601, BOUND)).isFalse();
  }

  @Test
  void aSuspensionMakesTheProofUnknown() {
    assertThat(proof.isFresh(nanos(100), WALL + 6100, BOUND)).isFalse();
  }

  @Test
  void aJumpOfTheTimeOfDayMakesTheProofUnknownInEitherDirection() {
    assertThat(proof.isFresh(nanos(100), WALL + 2500, BOUND)).isFalse();
    assertThat(proof.isFresh(nanos(100), WALL - 2300, BOUND)).isFalse();
  }

  @Test
  void smallDifferencesOfTheClocksAreNoJump() {
    assertThat(proof.isFresh(nanos(1000), WALL + 1300, BOUND)).isTrue();
  }

  @Test
  void eachClockAloneEndsAProofWhereTheyDifferALittle() {
    assertThat(proof.isFresh(nanos(4601), WALL + 4400, BOUND)).isFalse();
    assertThat(proof.isFresh(nanos(4400), WALL + 4601, BOUND)).isFalse();
  }

  private static long nanos(long millis) {
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }
}
