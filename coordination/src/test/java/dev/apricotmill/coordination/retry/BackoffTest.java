package dev.apricotmill.coordination.retry;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

final class BackoffTest {

  private final Backoff backoff = new Backoff(Duration.ofMillis(100), Duration.ofSeconds(5));

  @Property(seed = "17")
  void everyDelayLiesBetweenHalfItsBoundAndItsBound(
      @ForAll @IntRange(min = 1, max = 10_000) int failures, @ForAll long seed) {
    Duration delay = backoff.delay(failures, new SplittableRandom(seed));
    long bound = failures > 6 ? 5000 : Math.min(5000, 100L << (failures - 1));
    assertThat(delay).isAtMost(Duration.ofMillis(bound));
    assertThat(delay).isAtLeast(Duration.ofMillis(bound / 2));
  }
}
