package dev.apricotmill.node.relay;

import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Plays fleets of random size whose servers name and end limits while nodes restart, freeze, are
 * cut off and lose their dispatchers, in series and overlapping. The system property {@code
 * soak.seeds} sets the number of runs.
 */
final class ServerLimitSoakTest {

  private static final int FEW_NODES = 8;
  private static final int MAX_NODES = 95;
  private static final Duration WARM_UP = Duration.ofSeconds(3);
  private static final Duration END = Duration.ofSeconds(6);
  private static final int STEPS = 60;
  private static final double DISTURBED_STEP_SHARE = 0.3;
  private static final ImmutableList<Double> LIMITS =
      ImmutableList.of(0.1, 0.5, 1.0, 1.5, 4.0, 20.0);

  static LongStream seeds() {
    return LongStream.range(0, Long.getLong("soak.seeds", 4));
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void noServerGetsMoreThanItsLimitAllows(long seed) {
    Random random = new Random(seed);
    int nodeCount = 1 + random.nextInt(random.nextBoolean() ? FEW_NODES : MAX_NODES);
    int serverCount = 2 + random.nextInt(30);
    LimitLoad load = random.nextBoolean() ? LimitLoad.POOL : LimitLoad.DESK;
    RelayFleet fleet = LimitLoad.newFleet(nodeCount, serverCount);
    LimitRecord record = fleet.engines().record().limits();
    double rate = serverCount * (1 + 4 * random.nextDouble());
    List<String> trace = new ArrayList<>();
    load.play(fleet, random, WARM_UP, rate);
    for (FleetServer server : fleet.engines().serversOf(load.service())) {
      if (random.nextBoolean()) {
        record.limit(server, LIMITS.get(random.nextInt(LIMITS.size())), fleet.now());
      }
    }
    for (int step = 0; step < STEPS; step++) {
      if (random.nextDouble() < DISTURBED_STEP_SHARE) {
        disturb(fleet, load, random, trace);
      }
      load.play(fleet, random, Duration.ofMillis(100 + random.nextInt(600)), rate);
    }
    fleet
        .engines()
        .serversOf(load.service())
        .forEach(server -> record.endLimit(server, fleet.now()));
    load.play(fleet, random, WARM_UP, rate);
    fleet.advance(END);

    assertWithMessage(
            "%s nodes, %s servers, %s, %s requests a second, seed %s:\n%s\n",
            nodeCount, serverCount, load, rate, seed, String.join("\n", trace))
        .that(record.overruns())
        .isEmpty();
  }

  private static void disturb(RelayFleet fleet, LimitLoad load, Random random, List<String> trace) {
    int node = random.nextInt(fleet.nodeCount());
    Duration duration = Duration.ofMillis(200 + random.nextInt(4_000));
    int kind = random.nextInt(fleet.nodeCount() > 2 ? 4 : 3);
    trace.add(fleet.now().toMillis() + " ms " + kind + " at " + fleet.name(node) + " " + duration);
    switch (kind) {
      case 0 -> fleet.freeze(node, duration);
      case 1 -> fleet.cutFromPeers(node, duration);
      case 2 -> fleet.restart(node);
      default -> fleet.killDispatcher(load.service());
    }
  }
}
