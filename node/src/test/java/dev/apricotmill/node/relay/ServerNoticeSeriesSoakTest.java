package dev.apricotmill.node.relay;

import java.util.SplittableRandom;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Plays fleets of random size whose servers leave and pause while nodes are disturbed. The system
 * property {@code soak.seeds} sets the number of runs.
 */
final class ServerNoticeSeriesSoakTest {

  private static final int FEW_NODES = 8;
  private static final int MAX_NODES = 95;
  private static final int MIN_ENGINES = 4;
  private static final int ENGINES_SPREAD = 76;

  static LongStream seeds() {
    return LongStream.range(0, Long.getLong("soak.seeds", 4));
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void nodesHeedWhatServersSayOfThemselves(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    int nodeCount = 1 + random.nextInt(random.nextBoolean() ? FEW_NODES : MAX_NODES);
    ServerNoticeChecks.check(nodeCount, MIN_ENGINES + random.nextInt(ENGINES_SPREAD), seed);
  }
}
