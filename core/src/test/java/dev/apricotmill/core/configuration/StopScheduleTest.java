package dev.apricotmill.core.configuration;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class StopScheduleTest {
  private static final Instant EIGHT = Instant.parse("2026-11-20T08:00:00Z");
  private static final Instant NINE = Instant.parse("2026-11-20T09:00:00Z");
  private static final Instant TEN = Instant.parse("2026-11-20T10:00:00Z");
  private static final PlannedStop FIRST = new PlannedStop("a", EIGHT, TEN);
  private static final PlannedStop SECOND = new PlannedStop("b", NINE, TEN);
  private static final StopSchedule SCHEDULE =
      new StopSchedule(ImmutableList.of(FIRST, SECOND), ImmutableSet.of("c"));

  @Test
  void aStopIsActiveFromItsStartUntilJustBeforeItsEnd() {
    assertThat(SCHEDULE.acceptsNewWork("a", EIGHT.minusNanos(1))).isTrue();
    assertThat(SCHEDULE.acceptsNewWork("a", EIGHT)).isFalse();
    assertThat(SCHEDULE.acceptsNewWork("a", TEN.minusNanos(1))).isFalse();
    assertThat(SCHEDULE.acceptsNewWork("a", TEN)).isTrue();
  }

  @Test
  void aLeavingMachineGetsNoNewWorkAtAnyTime() {
    assertThat(SCHEDULE.stoppedAt(EIGHT)).containsExactly("a", "c");
    assertThat(SCHEDULE.stoppedAt(TEN)).containsExactly("c");
  }

  @Test
  void theNextChangeIsTheNextStartOrEnd() {
    assertThat(SCHEDULE.nextChangeAfter(EIGHT)).isEqualTo(Optional.of(NINE));
    assertThat(SCHEDULE.nextChangeAfter(NINE)).isEqualTo(Optional.of(TEN));
    assertThat(SCHEDULE.nextChangeAfter(TEN)).isEmpty();
  }

  @Test
  void theStopThatStopsTheLastMachineIsFound() {
    assertThat(SCHEDULE.firstThatStopsAll(List.of("a", "b", "c"))).isEqualTo(Optional.of(SECOND));
    assertThat(SCHEDULE.firstThatStopsAll(List.of("a", "b", "d"))).isEmpty();
    assertThat(SCHEDULE.firstThatStopsAll(List.of("c"))).isEmpty();
  }
}
