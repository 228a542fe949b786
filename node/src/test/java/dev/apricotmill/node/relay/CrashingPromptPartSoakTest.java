package dev.apricotmill.node.relay;

import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import dev.apricotmill.core.prompt.PromptParts;
import java.time.Duration;
import java.util.Random;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Plays fleets of random size in which prompts crash engines while nodes and engines are lost for
 * other reasons. The system property {@code soak.seeds} sets the number of runs.
 */
final class CrashingPromptPartSoakTest {

  private static final String CRASHING_PART = "bad";
  private static final Duration TICK = Duration.ofMillis(10);
  private static final Duration CALM = Duration.ofSeconds(5);
  private static final Duration TROUBLE = Duration.ofSeconds(25);

  static LongStream seeds() {
    return LongStream.range(0, Long.getLong("soak.seeds", 8));
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void onlyTheCrashingPartIsBlockedAndInTime(long seed) {
    Random random = new Random(seed);
    RelayFleet fleet = new RelayFleet(2 + random.nextInt(40), 6 + random.nextInt(60), seed);
    Load load = new Load(fleet, random);
    load.play(CALM, 0, 0);
    fleet.engines().addCrashingPart(CRASHING_PART);

    load.play(TROUBLE, 0.01 + 0.1 * random.nextDouble(), 0.005 * random.nextDouble());

    assertWithMessage("parts blocked beside the crashing one, seed %s", seed)
        .that(Sets.difference(fleet.blockedParts(), ImmutableSet.of(CRASHING_PART)))
        .isEmpty();
    assertWithMessage("later arrivals, seed %s", seed)
        .that(fleet.engines().arrivalsAfterLearning())
        .isAtMost(EngineFleet.MAX_ARRIVALS_AFTER_LEARNING);
  }

  /** Sends prompts and disturbs the fleet at random. */
  private static final class Load {

    private final RelayFleet fleet;
    private final Random random;
    private final double soundPromptsPerTick;
    private int prompts;

    Load(RelayFleet fleet, Random random) {
      this.fleet = fleet;
      this.random = random;
      soundPromptsPerTick = 0.05 + 0.4 * random.nextDouble();
    }

    void play(Duration duration, double crashingPromptsPerTick, double disturbancesPerTick) {
      Duration end = fleet.now().plus(duration);
      while (fleet.now().compareTo(end) < 0) {
        if (random.nextDouble() < soundPromptsPerTick) {
          fleet.send(prompt("d" + random.nextInt(10)));
        }
        if (random.nextDouble() < crashingPromptsPerTick) {
          fleet.send(prompt(CRASHING_PART));
        }
        if (random.nextDouble() < disturbancesPerTick) {
          disturb();
        }
        fleet.advance(TICK);
      }
    }

    private PromptParts prompt(String second) {
      return EngineFleet.prompt("f" + random.nextInt(3), second, "own" + prompts++);
    }

    private void disturb() {
      switch (random.nextInt(4)) {
        case 0 -> {
          if (fleet.nodeCount() > 2) {
            fleet.killDispatcher();
          }
        }
        case 1 -> fleet.restartAllNodes();
        default -> fleet.engines().killBusyEngines(1 + random.nextInt(3));
      }
    }
  }
}
