package dev.apricotmill.node.relay;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Plays fleets of some sizes whose servers leave and pause while nodes are disturbed. */
final class ServerNoticeSeriesTest {

  @ParameterizedTest
  @CsvSource({"1, 4, 1", "2, 6, 2", "8, 26, 3", "30, 60, 5", "95, 80, 6"})
  void nodesHeedWhatServersSayOfThemselves(int nodeCount, int engineCount, long seed) {
    ServerNoticeChecks.check(nodeCount, engineCount, seed);
  }
}
