package dev.apricotmill.coordination.follow;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class ReadTimestampTest {

  private static final Duration BOUND = Duration.ofMillis(4600);
  private static final long WALL_MILLIS = 1_800_000_000_000L;
  private final ReadTimestamp readAt = new ReadTimestamp(0, WALL_MILLIS);

  @Test
  void aTimestampIsFreshUpToTheBound() {
    assertThat(readAt.isFresh(nanos(4600), WALL_MILLIS + 4600, BOUND)).isTrue();
    assertThat(readAt.isFresh(nanos(4601), WALL_MILLIS + 4601, BOUND)).isFalse();
  }

  @Test
  void aTimestampIsNotFreshAfterASuspension() {
    assertThat(readAt.isFresh(nanos(100), WALL_MILLIS + 6100, BOUND)).isFalse();
  }

  @Test
  void aTimestampIsNotFreshAfterAWallClockJumpInEitherDirection() {
    assertThat(readAt.isFresh(nanos(100), WALL_MILLIS + 2500, BOUND)).isFalse();
    assertThat(readAt.isFresh(nanos(100), WALL_MILLIS - 2300, BOUND)).isFalse();
  }

  @Test
  void smallDifferencesBetweenTheClocksAreNotAJump() {
    assertThat(readAt.isFresh(nanos(1000), WALL_MILLIS + 1300, BOUND)).isTrue();
  }

  @Test
  void theBoundAppliesToEachClockIfTheyDifferALittle() {
    assertThat(readAt.isFresh(nanos(4601), WALL_MILLIS + 4400, BOUND)).isFalse();
    assertThat(readAt.isFresh(nanos(4400), WALL_MILLIS + 4601, BOUND)).isFalse();
  }

  private static long nanos(long millis) {
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }
}
