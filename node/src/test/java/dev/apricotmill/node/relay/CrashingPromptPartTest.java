package dev.apricotmill.node.relay;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import dev.apricotmill.core.prompt.PromptParts;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against prompts with one part that crash the engines of a pool one after the other. */
final class CrashingPromptPartTest {

  private static final String SHARED_FIRST_PART = "f0";
  private static final String CRASHING_PART = "bad";

  private static final Duration TICK = Duration.ofMillis(10);

  private final List<Sound> soundRequests = new ArrayList<>();
  private Random random = new Random(0);
  private int prompts;

  /** A sound request that shares the crashing prompts' first part. */
  private record Sound(Duration at, RelayFixture.RecordedCaller caller) {}

  @ParameterizedTest
  @CsvSource({"1, 4, 1", "2, 6, 2", "8, 26, 3", "8, 26, 4", "30, 60, 5", "95, 80, 6"})
  void afterFiveCrashesThePartReachesEnginesThreeTimesAtMost(
      int nodeCount, int engineCount, long seed) {
    RelayFleet fleet = fleet(nodeCount, engineCount, seed);
    playSound(fleet, Duration.ofSeconds(5));
    fleet.engines().addCrashingPart(CRASHING_PART);

    playWithCrashingPrompts(fleet, Duration.ofSeconds(20));

    assertLaterArrivalsAreFew(fleet);
  }

  @ParameterizedTest
  @CsvSource({"8, 26, 11", "8, 26, 12", "30, 60, 13"})
  void aNewDispatcherKnowsThePart(int nodeCount, int engineCount, long seed) {
    RelayFleet fleet = fleet(nodeCount, engineCount, seed);
    playSound(fleet, Duration.ofSeconds(5));
    fleet.engines().addCrashingPart(CRASHING_PART);

    for (int i = 0; i < 4; i++) {
      playWithCrashingPrompts(fleet, Duration.ofMillis(700));
      fleet.killDispatcher();
    }
    playWithCrashingPrompts(fleet, Duration.ofSeconds(10));

    assertLaterArrivalsAreFew(fleet);
  }

  @Test
  void aRestartOfAllNodesDoesNotBringThePartBack() {
    RelayFleet fleet = fleet(8, 26, 21);
    playSound(fleet, Duration.ofSeconds(5));
    fleet.engines().addCrashingPart(CRASHING_PART);
    playWithCrashingPrompts(fleet, Duration.ofSeconds(10));

    fleet.restartAllNodes();
    playSound(fleet, Duration.ofSeconds(1));
    playWithCrashingPrompts(fleet, Duration.ofSeconds(10));

    assertLaterArrivalsAreFew(fleet);
  }

  @ParameterizedTest
  @CsvSource({"1, 6, 31", "8, 26, 32", "30, 60, 33", "95, 80, 34"})
  void soundRequestsThatShareTheOtherPartsBeginAtTheFirstAttempt(
      int nodeCount, int engineCount, long seed) {
    RelayFleet fleet = fleet(nodeCount, engineCount, seed);
    playSound(fleet, Duration.ofSeconds(10));
    Duration calmEnd = fleet.now();
    fleet.engines().addCrashingPart(CRASHING_PART);
    playWithCrashingPrompts(fleet, Duration.ofSeconds(5));
    Duration from = fleet.engines().learningEnd().orElseThrow().plus(EngineFleet.LEARNING_TIME);

    playWithCrashingPrompts(fleet, Duration.ofSeconds(15));

    double before = begunShare(Duration.ZERO, calmEnd.minusSeconds(1));
    double later = begunShare(from, fleet.now().minusSeconds(1));
    assertThat(later).isAtLeast(before / 2);
  }

  /** Engines that end for another reason must not keep sound prompts away. */
  @ParameterizedTest
  @CsvSource({"1, 8, 41", "8, 26, 42", "8, 26, 43", "30, 60, 44"})
  void enginesThatEndForAnotherReasonBlockNoPrompt(int nodeCount, int engineCount, long seed) {
    RelayFleet fleet = fleet(nodeCount, engineCount, seed);
    playSound(fleet, Duration.ofSeconds(2));

    for (int i = 0; i < 5; i++) {
      fleet.engines().killBusyEngines(engineCount / 3);
      playSound(fleet, Duration.ofMillis(300));
      fleet.engines().killBusyEngines(1);
      playSound(fleet, Duration.ofSeconds(4));
    }
    soundRequests.clear();
    playSound(fleet, Duration.ofSeconds(5));

    assertThat(begunShare(Duration.ZERO, fleet.now().minusSeconds(1))).isAtLeast(0.95);
  }

  private RelayFleet fleet(int nodeCount, int engineCount, long seed) {
    random = new Random(seed);
    return new RelayFleet(nodeCount, engineCount, seed);
  }

  private void playSound(RelayFleet fleet, Duration duration) {
    play(fleet, duration, 0);
  }

  private void playWithCrashingPrompts(RelayFleet fleet, Duration duration) {
    play(fleet, duration, 0.06);
  }

  private void play(RelayFleet fleet, Duration duration, double crashingPromptsPerTick) {
    Duration end = fleet.now().plus(duration);
    while (fleet.now().compareTo(end) < 0) {
      if (random.nextDouble() < 0.2) {
        String first = "f" + random.nextInt(3);
        Duration at = fleet.now();
        RelayFixture.RecordedCaller caller = fleet.send(prompt(first, "d" + random.nextInt(10)));
        if (first.equals(SHARED_FIRST_PART)) {
          soundRequests.add(new Sound(at, caller));
        }
      }
      if (random.nextDouble() < crashingPromptsPerTick) {
        fleet.send(prompt(SHARED_FIRST_PART, CRASHING_PART));
      }
      fleet.advance(TICK);
    }
  }

  private PromptParts prompt(String first, String second) {
    return EngineFleet.prompt(first, second, "own" + prompts++);
  }

  private static void assertLaterArrivalsAreFew(RelayFleet fleet) {
    int crashes = fleet.engines().crashes().size();
    assertThat(crashes).isAtLeast(1);
    assertWithMessage("sends after the fifth of %s crashes", crashes)
        .that(fleet.engines().arrivalsAfterLearning())
        .isAtMost(EngineFleet.MAX_ARRIVALS_AFTER_LEARNING);
  }

  private static boolean begunAtFirstAttempt(Sound sound) {
    return "1".equals(sound.caller().headers().get(EngineFleet.ATTEMPT));
  }

  private double begunShare(Duration from, Duration to) {
    Map<Boolean, Integer> counts = new HashMap<>();
    soundRequests.stream()
        .filter(sound -> sound.at().compareTo(from) >= 0 && sound.at().compareTo(to) < 0)
        .forEach(sound -> counts.merge(begunAtFirstAttempt(sound), 1, Integer::sum));
    int begun = counts.getOrDefault(true, 0);
    int total = begun + counts.getOrDefault(false, 0);
    assertThat(total).isAtLeast(20);
    return begun / (double) total;
  }
}
