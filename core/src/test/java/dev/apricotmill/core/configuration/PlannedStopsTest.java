package dev.apricotmill.core.configuration;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class PlannedStopsTest {
  private static final Instant EIGHT = Instant.parse("2026-11-20T08:00:00Z");
  private static final Instant NINE = Instant.parse("2026-11-20T09:00:00Z");
  private static final Instant TEN = Instant.parse("2026-11-20T10:00:00Z");
  private static final PlannedStop FIRST = new PlannedStop("a", EIGHT, TEN);
  private static final PlannedStop SECOND = new PlannedStop("b", NINE, TEN);
  private static final PlannedStops STOPS =
      new PlannedStops(ImmutableList.of(FIRST, SECOND), ImmutableSet.of("c"));

  @Test
  void aStopHoldsFromItsBeginUntilJustBeforeItsEnd() {
    assertThat(STOPS.takesNewWork("a", EIGHT.minusNanos(1))).isTrue();
    assertThat(STOPS.takesNewWork("a", EIGHT)).isFalse();
    assertThat(STOPS.takesNewWork("a", TEN.minusNanos(1))).isFalse();
    assertThat(STOPS.takesNewWork("a", TEN)).isTrue();
  }

  @Test
  void aLeavingMachineGetsNoNewWorkWhateverTheTime() {
    assertThat(STOPS.stoppedAt(EIGHT)).containsExactly("a", "c");
    assertThat(STOPS.stoppedAt(TEN)).containsExactly("c");
  }

  @Test
  void theNextChangeIsTheNextBeginOrEnd() {
    assertThat(STOPS.nextChangeAfter(EIGHT)).isEqualTo(Optional.of(NINE));
    assertThat(STOPS.nextChangeAfter(NINE)).isEqualTo(Optional.of(TEN));
    assertThat(STOPS.nextChangeAfter(TEN)).isEmpty();
  }

  @Test
  void theStopThatTakesTheLastMachineIsFound() {
    assertThat(STOPS.firstThatTakesAll(List.of("a", "b", "c"))).isEqualTo(Optional.of(SECOND));
    assertThat(STOPS.firstThatTakesAll(List.of("a", "b", "d"))).isEmpty();
    assertThat(STOPS.firstThatTakesAll(List.of("c"))).isEmpty();
  }
}
