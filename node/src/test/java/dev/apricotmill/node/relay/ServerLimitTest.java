package dev.apricotmill.node.relay;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.core.relay.RelayRefusal;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** All nodes together send a server no more requests than the limit that it names. */
final class ServerLimitTest {

  private static final Duration WARM_UP = Duration.ofSeconds(3);
  private static final Duration LIMITED = Duration.ofSeconds(15);
  private static final Duration END = Duration.ofSeconds(6);
  private final List<RelayFixture.RecordedCaller> callers = new ArrayList<>();
  private final Random random = new Random(37);

  private void play(RelayFleet fleet, LimitLoad load, Duration duration, double requestsPerSecond) {
    callers.addAll(load.play(fleet, random, duration, requestsPerSecond));
  }

  private static ImmutableList<FleetServer> limit(
      RelayFleet fleet, LimitLoad load, double requestsPerSecond, int count) {
    ImmutableList<FleetServer> limited =
        fleet.engines().serversOf(load.service()).stream()
            .limit(count)
            .collect(ImmutableList.toImmutableList());
    limited.forEach(
        server -> fleet.engines().record().limits().limit(server, requestsPerSecond, fleet.now()));
    return limited;
  }

  private double servedShare() {
    return callers.stream().filter(caller -> caller.status() == 200 && caller.ended()).count()
        / (double) callers.size();
  }

  @ParameterizedTest
  @CsvSource({
    "1, 4, 1, POOL", "2, 6, 1.5, POOL", "8, 26, 1.5, POOL", "8, 26, 0.25, POOL", "8, 26, 10, POOL",
    "30, 60, 1, POOL", "95, 80, 1, POOL", "95, 80, 0.25, POOL", "1, 3, 1, DESK", "8, 4, 1.5, DESK",
    "8, 4, 0.25, DESK", "8, 4, 10, DESK", "95, 12, 1, DESK", "95, 12, 0.25, DESK"
  })
  void aServerGetsNoMoreRequestsThanItsLimitAllows(
      int nodeCount, int serverCount, double limit, LimitLoad load) {
    RelayFleet fleet = LimitLoad.newFleet(nodeCount, serverCount);
    double rate = 3.0 * serverCount;
    play(fleet, load, WARM_UP, rate);
    Duration from = fleet.now();
    ImmutableList<FleetServer> limited = limit(fleet, load, limit, Math.max(1, serverCount / 4));
    play(fleet, load, LIMITED, rate);
    Duration end = fleet.now();
    fleet.advance(END);

    assertThat(fleet.engines().record().limits().overruns()).isEmpty();
    assertWithMessage("requests at limited servers")
        .that(
            limited.stream()
                .mapToLong(
                    server ->
                        fleet.engines().record().limits().arrivalsAt(server.instance(), from, end))
                .sum())
        .isAtLeast(limited.size());
    assertWithMessage("served share").that(servedShare()).isAtLeast(0.95);
  }

  @ParameterizedTest
  @CsvSource({"1, 1, POOL", "8, 1, POOL", "95, 1, POOL", "8, 1, DESK", "95, 1, DESK"})
  void whatNoServerMayGetIsRefusedAtOnceWithTheTimeToComeBack(
      int nodeCount, double limit, LimitLoad load) {
    RelayFleet fleet = LimitLoad.newFleet(nodeCount, 4);
    play(fleet, load, WARM_UP, 8);
    limit(fleet, load, limit, 4);
    play(fleet, load, LIMITED, 2 * nodeCount + 20);
    List<RelayFixture.RecordedCaller> last = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      last.add(fleet.send(0, load.next(fleet, random)));
    }
    fleet.advance(Duration.ofMillis(20));

    assertThat(fleet.engines().record().limits().overruns()).isEmpty();
    List<RelayFixture.RecordedCaller> refused =
        last.stream().filter(caller -> caller.refusal() != null).toList();
    assertThat(refused.size()).isAtLeast(6);
    for (RelayFixture.RecordedCaller caller : refused) {
      assertThat(caller.refusal()).isEqualTo(RelayRefusal.OVERLOADED);
      assertThat(caller.retryAfter()).isGreaterThan(Duration.ZERO);
      assertThat(caller.retryAfter()).isAtMost(Duration.ofSeconds(1));
    }
  }

  @ParameterizedTest
  @CsvSource({"8, 26, 1, POOL", "8, 26, 1.5, POOL", "8, 4, 1, DESK", "95, 80, 1, POOL"})
  void theLimitHoldsWhileNodesRestartFreezeAndAreCutOff(
      int nodeCount, int serverCount, double limit, LimitLoad load) {
    RelayFleet fleet = LimitLoad.newFleet(nodeCount, serverCount);
    double rate = 3.0 * serverCount;
    play(fleet, load, WARM_UP, rate);
    limit(fleet, load, limit, Math.max(1, serverCount / 4));
    for (int i = 0; i < 12; i++) {
      int node = random.nextInt(fleet.nodeCount());
      switch (i % 4) {
        case 0 -> fleet.freeze(node, Duration.ofMillis(1_500));
        case 1 -> fleet.restart(node);
        case 2 -> fleet.cutFromPeers(node, Duration.ofSeconds(2));
        default -> fleet.killDispatcher(load.service());
      }
      play(fleet, load, Duration.ofMillis(1_700), rate);
    }
    fleet.advance(END);

    assertThat(fleet.engines().record().limits().overruns()).isEmpty();
  }

  /** A change of the list of nodes reaches them one after the other. */
  @ParameterizedTest
  @CsvSource({"8, 4, POOL", "8, 10, POOL", "30, 10, DESK", "95, 4, DESK", "95, 20, POOL"})
  void theLimitHoldsWhileNodesDisagreeOnTheDispatcher(int nodeCount, double limit, LimitLoad load) {
    RelayFleet fleet = LimitLoad.newFleet(nodeCount, 4);
    play(fleet, load, WARM_UP, 200);
    limit(fleet, load, limit, 4);
    play(fleet, load, LIMITED, 200);
    fleet.hideDispatcherFromHalf(load.service());
    play(fleet, load, Duration.ofSeconds(4), 200);

    assertThat(fleet.engines().record().limits().overruns()).isEmpty();
  }

  @ParameterizedTest
  @CsvSource({"1, POOL", "8, POOL", "95, POOL", "1, DESK", "8, DESK", "95, DESK"})
  void aServerWhoseLimitHasEndedIsUsedAsBefore(int nodeCount, LimitLoad load) {
    RelayFleet fleet = LimitLoad.newFleet(nodeCount, 4);
    play(fleet, load, WARM_UP, 12);
    ImmutableList<FleetServer> limited = limit(fleet, load, 1, 4);
    play(fleet, load, LIMITED, 12);
    limited.forEach(server -> fleet.engines().record().limits().endLimit(server, fleet.now()));
    play(fleet, load, Duration.ofSeconds(4), 12);
    Duration from = fleet.now();
    callers.clear();
    play(fleet, load, Duration.ofSeconds(4), 12);
    fleet.advance(END);

    assertWithMessage("served share since %s", from).that(servedShare()).isAtLeast(0.95);
  }

  @Test
  void aServerThatStartsAgainUnderItsIdentifierHasNoLimit() {
    RelayFleet fleet = LimitLoad.newFleet(8, 2);
    play(fleet, LimitLoad.DESK, WARM_UP, 20);
    ImmutableList<FleetServer> limited = limit(fleet, LimitLoad.DESK, 0.25, 2);
    play(fleet, LimitLoad.DESK, Duration.ofSeconds(5), 20);
    limited.forEach(
        server ->
            fleet
                .engines()
                .leave(
                    server,
                    new FleetServer.Departure(
                        FleetServer.ListEntry.ABSENT, Duration.ZERO, Duration.ofMillis(10), true)));
    fleet.advance(Duration.ofSeconds(1));
    callers.clear();
    play(fleet, LimitLoad.DESK, Duration.ofSeconds(4), 20);
    fleet.advance(END);

    assertThat(servedShare()).isAtLeast(0.95);
  }
}
