package dev.apricotmill.node.relay;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import dev.apricotmill.coordination.testing.FakePlatform;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against requests to evacuated zones in any order of evacuations and failures: no node
 * sends to a zone whose evacuation it was told of, or before it was told anything, or later than
 * the bound allows.
 */
final class EvacuationPropertyTest {

  private static final int SCHEDULES = 60;
  private static final int STEPS = 40;
  private static final Duration QUIET = Duration.ofSeconds(20);

  static LongStream seeds() {
    return LongStream.rangeClosed(1, SCHEDULES);
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void noRequestIsSentToAnEvacuatedZoneByANodeThatKnowsOfIt(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    EvacuationFleet fleet = new EvacuationFleet(random.split());
    fleet.serve(Duration.ofSeconds(1));
    Set<String> evacuated = new HashSet<>();
    FakePlatform.Copy copy = fleet.store().copy();
    for (int step = 0; step < STEPS; step++) {
      Duration duration = Duration.ofMillis(200 + random.nextInt(9_000));
      String zone = EvacuationFleet.ZONES.get(random.nextInt(EvacuationFleet.ZONES.size()));
      String node = fleet.nodeNames().get(random.nextInt(fleet.nodeNames().size()));
      switch (random.nextInt(12)) {
        case 0, 1, 2 -> {
          fleet.evacuate(zone);
          evacuated.add(zone);
        }
        case 3, 4 -> fleet.endEvacuation(zone);
        case 5 -> {
          fleet.endEvacuation(zone);
          fleet.serve(Duration.ofMillis(random.nextInt(2_000)));
          fleet.evacuate(zone);
          evacuated.add(zone);
        }
        case 6 -> fleet.turnAway(third(fleet, random), duration);
        case 7 -> fleet.cutOff(zone, duration);
        case 8 -> fleet.freeze(node, duration);
        case 9 -> fleet.restart(node);
        case 10 -> copy = fleet.store().copy();
        default -> disturbStore(fleet, copy, evacuated, random, duration);
      }
      fleet.serve(Duration.ofMillis(random.nextInt(2_500)));
    }
    assertWithMessage("seed %s", seed).that(fleet.violations()).isEmpty();
    assertThat(evacuated).isNotEmpty();
    assertAllZonesAreUsedAgain(fleet, seed);
  }

  private static List<String> third(EvacuationFleet fleet, SplittableRandom random) {
    int remainder = random.nextInt(3);
    return fleet.nodeNames().stream()
        .filter(name -> Math.floorMod(name.hashCode(), 3) == remainder)
        .toList();
  }

  private static void disturbStore(
      EvacuationFleet fleet,
      FakePlatform.Copy copy,
      Set<String> evacuated,
      SplittableRandom random,
      Duration duration) {
    if (random.nextBoolean()) {
      fleet.loseStore(duration);
      return;
    }
    fleet.restore(copy);
    if (random.nextBoolean() && !evacuated.isEmpty()) {
      fleet.serve(Duration.ofMillis(random.nextInt(2_500)));
      fleet.evacuate(evacuated.iterator().next());
    }
  }

  private static void assertAllZonesAreUsedAgain(EvacuationFleet fleet, long seed) {
    EvacuationFleet.ZONES.forEach(fleet::endEvacuation);
    fleet.advance(QUIET);
    int[] before = EvacuationFleet.ZONES.stream().mapToInt(fleet::sends).toArray();
    fleet.serve(Duration.ofSeconds(3));
    for (int i = 0; i < before.length; i++) {
      String zone = EvacuationFleet.ZONES.get(i);
      assertWithMessage("seed %s: sends to %s", seed, zone)
          .that(fleet.sends(zone))
          .isGreaterThan(before[i]);
    }
    assertWithMessage("seed %s", seed).that(fleet.violations()).isEmpty();
  }
}
