package dev.apricotmill.core.pool;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.core.pool.PromptReplay.Deployment;
import dev.apricotmill.core.pool.PromptReplay.Result;
import dev.apricotmill.core.pool.PromptReplay.Size;
import java.util.EnumMap;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Replays the heavy days of {@code docs/HARD-LOAD.md}, whose mix turns every 9.5 s, with and
 * without engines that are kept free for short prompts.
 */
final class CompetingPromptsTest {

  private static final ImmutableList<Long> SEEDS = ImmutableList.of(1L, 2L, 3L, 4L);
  private static final int TURNS = 4;
  private static final double BAJIO_GOAL = 0.85;
  private static final double HUDUD_GOAL = 0.74;

  @Test
  void aTurnOfTheMixMakesFewerShortPromptsLateAtBajio() {
    assertBetterThanBefore(Deployment.BAJIO, BAJIO_GOAL);
  }

  @Test
  void aTurnOfTheMixMakesFewerShortPromptsLateAtHudud() {
    assertBetterThanBefore(Deployment.HUDUD, HUDUD_GOAL);
  }

  /** A zone is evacuated: the load of all engines on two thirds of them. */
  @Test
  void theSameLoadOnTwoThirdsOfTheEnginesEarnsMoreThanBefore() {
    assertBetterThanBefore(Deployment.BAJIO.lost(15), BAJIO_GOAL);
    assertBetterThanBefore(Deployment.HUDUD.lost(26), HUDUD_GOAL);
  }

  /** A pool so small that one long prompt could take all of it. */
  @Test
  void fifteenEnginesServeShortPromptsWhileLongOnesAdvance() {
    assertFewerShortPromptsLate(Deployment.BAJIO.withEngines(15), BAJIO_GOAL);
    assertFewerShortPromptsLate(Deployment.HUDUD.withEngines(15), HUDUD_GOAL);
  }

  /** Giants at once: before, their parts blocked nearly all engines of a small pool for 2 s. */
  @Test
  void aBurstOfGiantPromptsLeavesEnginesForShortOnes() {
    Deployment small = Deployment.HUDUD.withEngines(15);

    Map<Size, Result> before = giants(small, false);
    Map<Size, Result> now = giants(small, true);

    assertWithMessage("before %s, now %s", before, now)
        .that(late(now, Size.SHORT))
        .isAtMost(late(before, Size.SHORT));
    assertThat(PromptReplay.share(now)).isAtLeast(HUDUD_GOAL);
  }

  /** Memory of a reservation was taken for free from its first event on, and reserved again. */
  @Test
  void memoryIsReservedOnlyWhereItIsFree() {
    Map<Size, Result> now = replay(Deployment.HUDUD, true);

    assertThat(now.get(Size.LONG).reserved()).isGreaterThan(0);
    assertThat(now.get(Size.LONG).unused()).isEqualTo(0);
  }

  private static Map<Size, Result> giants(Deployment deployment, boolean competing) {
    return new PromptReplay(deployment, 5, competing)
        .withTurnsOfTheMix(2)
        .withBurst(Size.LONG, 11_000, 6, 500_000)
        .run();
  }

  private static void assertBetterThanBefore(Deployment deployment, double goal) {
    Map<Size, Result> before = replay(deployment, false);
    Map<Size, Result> now = assertFewerShortPromptsLate(deployment, goal);
    assertWithMessage("before %s, now %s", before, now)
        .that(PromptReplay.share(now))
        .isAtLeast(PromptReplay.share(before));
  }

  private static Map<Size, Result> assertFewerShortPromptsLate(Deployment deployment, double goal) {
    Map<Size, Result> before = replay(deployment, false);
    Map<Size, Result> now = replay(deployment, true);
    assertWithMessage("before %s, now %s", before, now)
        .that(late(now, Size.SHORT))
        .isLessThan(late(before, Size.SHORT));
    assertWithMessage("%s", now).that(PromptReplay.share(now)).isAtLeast(goal);
    return now;
  }

  private static int late(Map<Size, Result> results, Size size) {
    return results.get(size).late() + results.get(size).refused();
  }

  private static Map<Size, Result> replay(Deployment deployment, boolean competing) {
    Map<Size, Result> sum = new EnumMap<>(Size.class);
    for (long seed : SEEDS) {
      new PromptReplay(deployment, seed, competing)
          .withTurnsOfTheMix(TURNS)
          .run()
          .forEach((size, result) -> sum.merge(size, result, Result::plus));
    }
    return sum;
  }
}
