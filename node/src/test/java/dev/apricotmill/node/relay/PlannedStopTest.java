package dev.apricotmill.node.relay;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import dev.apricotmill.core.relay.RetryPolicy;
import dev.apricotmill.node.relay.PlannedStop.Phase;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

final class PlannedStopTest {

  private static final long START_NANOS = -Duration.ofMillis(1500).toNanos();
  private static final Duration GRACE = Duration.ofSeconds(8);

  private final PlannedStop stop = new PlannedStop(START_NANOS, GRACE);

  @Test
  void anIdleStopIsOverOnlyAfterAcceptanceHasEnded() {
    assertThat(stop.advance(at(2_499), 0)).isEqualTo(Phase.ACCEPTING);
    assertThat(stop.isAccepting(at(2_499))).isTrue();

    assertThat(stop.advance(at(2_500), 0)).isEqualTo(Phase.REFUSING);
    assertThat(stop.isAccepting(at(2_500))).isFalse();
    assertThat(stop.advance(at(2_520), 0)).isEqualTo(Phase.OVER);
    assertThat(stop.isAccepting(at(2_520))).isFalse();
  }

  @Test
  void aRequestThatWasAcceptedAsAcceptanceEndedDelaysTheEnd() {
    stop.advance(at(2_500), 0);

    assertThat(stop.advance(at(2_520), 1)).isEqualTo(Phase.REFUSING);
    assertThat(stop.advance(at(4_000), 1)).isEqualTo(Phase.REFUSING);
    assertThat(stop.advance(at(4_020), 0)).isEqualTo(Phase.OVER);
  }

  @Test
  void openRequestsAreEndedWithTimeLeftForTheirResponses() {
    stop.advance(at(3_000), 1);

    assertThat(stop.advance(at(7_499), 1)).isEqualTo(Phase.REFUSING);
    assertThat(stop.advance(at(7_500), 1)).isEqualTo(Phase.RESPONDING);
    assertThat(stop.advance(at(7_699), 1)).isEqualTo(Phase.RESPONDING);
    assertThat(stop.advance(at(7_700), 1)).isEqualTo(Phase.OVER);
  }

  @Test
  void aStopIsOverOnceTheFinalResponsesAreWritten() {
    stop.advance(at(3_000), 1);
    stop.advance(at(7_500), 1);

    assertThat(stop.advance(at(7_520), 0)).isEqualTo(Phase.OVER);
  }

  @Test
  void aStopThatWasHeldUpStillRespondsToOpenRequests() {
    assertThat(stop.advance(at(9_000), 1)).isEqualTo(Phase.REFUSING);
    assertThat(stop.advance(at(9_020), 1)).isEqualTo(Phase.RESPONDING);
    assertThat(stop.advance(at(9_040), 1)).isEqualTo(Phase.OVER);
  }

  @Test
  void acceptanceEndsInTimeThoughNothingAdvancesTheStop() {
    assertThat(stop.isAccepting(at(2_999))).isTrue();
    assertThat(stop.isAccepting(at(3_000))).isFalse();
  }

  @Test
  void everyGraceLeavesAcceptedRequestsMoreThanHalfOfIt() {
    for (long graceMillis : List.of(0L, 1L, 10L, 100L, 1_000L, 3_000L, 3_300L, 8_000L, 60_000L)) {
      Duration grace = Duration.ofMillis(graceMillis);
      PlannedStop graced = new PlannedStop(START_NANOS, grace);
      long half = START_NANOS + grace.toNanos() / 2;

      assertWithMessage("%s", grace).that(graced.isAccepting(half)).isFalse();
      graced.advance(half, 1);
      graced.advance(START_NANOS + grace.toNanos(), 1);
      assertWithMessage("%s", grace)
          .that(graced.advance(START_NANOS + grace.toNanos(), 1))
          .isEqualTo(Phase.OVER);
    }
  }

  @Test
  void anAtMostOnceRequestFitsOnlyIfItsTimeLimitEndsBeforeTheFinalResponses() {
    assertThat(stop.fits(RetryPolicy.AT_MOST_ONCE, at(1_500), Duration.ofSeconds(6))).isTrue();
    assertThat(stop.fits(RetryPolicy.AT_MOST_ONCE, at(1_501), Duration.ofSeconds(6))).isFalse();
    assertThat(stop.fits(RetryPolicy.REPEATABLE, at(1_501), Duration.ofSeconds(6))).isTrue();
  }

  private static long at(long millis) {
    return START_NANOS + Duration.ofMillis(millis).toNanos();
  }
}
