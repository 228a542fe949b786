package dev.apricotmill.node.relay;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.core.relay.ColdStart;
import dev.apricotmill.core.relay.ColdTolerance;
import dev.apricotmill.core.relay.RelayRefusal;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * No second of a cold server has more requests than its bound, summed over all nodes that have read
 * that it is cold, whatever befalls nodes, dispatchers and the list of servers.
 */
final class ColdServerBoundTest {

  private static final ColdTolerance TOLERANCE = new ColdTolerance(1.5, 5);
  private static final Duration STEP = Duration.ofMillis(500);

  /** What may happen at any moment of a schedule. */
  private enum Event {
    TURN_COLD {
      @Override
      void apply(RelayFleet fleet, LimitLoad load, Random random) {
        ImmutableList<FleetServer> servers = fleet.engines().serversOf(load.service());
        if (!servers.isEmpty()) {
          fleet.turnCold(ImmutableList.of(servers.get(random.nextInt(servers.size()))));
        }
      }
    },
    ALL_TURN_COLD {
      @Override
      void apply(RelayFleet fleet, LimitLoad load, Random random) {
        fleet.turnCold(fleet.engines().serversOf(load.service()));
      }
    },
    FREEZE {
      @Override
      void apply(RelayFleet fleet, LimitLoad load, Random random) {
        fleet.freeze(random.nextInt(fleet.nodeCount()), Duration.ofMillis(1_500));
      }
    },
    CUT_FROM_PEERS {
      @Override
      void apply(RelayFleet fleet, LimitLoad load, Random random) {
        fleet.cutFromPeers(random.nextInt(fleet.nodeCount()), Duration.ofSeconds(2));
      }
    },
    STORE_GONE {
      @Override
      void apply(RelayFleet fleet, LimitLoad load, Random random) {
        for (int node = 0; node < fleet.nodeCount(); node++) {
          fleet.cutFromList(node, Duration.ofSeconds(2));
        }
      }
    },
    TWO_DISPATCHERS {
      @Override
      void apply(RelayFleet fleet, LimitLoad load, Random random) {
        fleet.hideDispatcherFromHalf(load.service());
      }
    },
    RESTART {
      @Override
      void apply(RelayFleet fleet, LimitLoad load, Random random) {
        fleet.restart(random.nextInt(fleet.nodeCount()));
      }
    },
    SERVERS_END {
      @Override
      void apply(RelayFleet fleet, LimitLoad load, Random random) {
        fleet.engines().killBusyEngines(2);
      }
    },
    NOTHING {
      @Override
      void apply(RelayFleet fleet, LimitLoad load, Random random) {}
    };

    abstract void apply(RelayFleet fleet, LimitLoad load, Random random);
  }

  private static RelayFleet newFleet(int nodeCount, int serverCount, double perSecond, long seed) {
    RelayFleet fleet =
        new RelayFleet(
            nodeCount,
            serverCount,
            seed,
            new ColdStart(Duration.ofSeconds(3), perSecond),
            TOLERANCE);
    fleet.engines().addServers(RelayFixture.DESK, serverCount);
    fleet.restartAllNodes();
    fleet.advance(Duration.ofSeconds(5));
    return fleet;
  }

  @ParameterizedTest
  @CsvSource({
    "1, 4, 4, POOL, 8",
    "2, 6, 4, POOL, 8",
    "8, 10, 4, POOL, 24",
    "30, 10, 4, POOL, 8",
    "90, 20, 18, POOL, 3",
    "8, 4, 4, DESK, 12",
    "30, 4, 4, DESK, 6"
  })
  void theBoundHoldsInEverySchedule(
      int nodeCount, int serverCount, double perSecond, LimitLoad load, int schedules) {
    int received = 0;
    for (int seed = 0; seed < schedules; seed++) {
      Random random = new Random(seed);
      RelayFleet fleet = newFleet(nodeCount, serverCount, perSecond, seed);
      fleet.engines().setErrorShare(0.1);
      List<Event> events = new ArrayList<>();
      for (int step = 0; step < 20; step++) {
        Event event = Event.values()[random.nextInt(Event.values().length)];
        events.add(event);
        event.apply(fleet, load, random);
        load.play(fleet, random, STEP, 15.0 * serverCount);
      }
      assertWithMessage("seed %s, %s", seed, events)
          .that(fleet.engines().record().colds().mostInOneSecond())
          .isAtMost(TOLERANCE.bound(new ColdStart(Duration.ofSeconds(3), perSecond)));
      received += fleet.engines().record().colds().arrivals();
    }
    assertWithMessage("requests at cold servers").that(received).isAtLeast(10 * schedules);
  }

  /** Guards against callers that wait for servers which have used up their rate. */
  @Test
  void whatNoColdServerMayGetIsRefusedAtOnceWithTheTimeToComeBack() {
    RelayFleet fleet = newFleet(4, 2, 4, 1);
    Random random = new Random(1);
    fleet.turnCold(fleet.engines().serversOf(RelayFixture.POOL));
    LimitLoad.POOL.play(fleet, random, Duration.ofSeconds(1), 200);
    List<RelayFixture.RecordedCaller> callers = new ArrayList<>();
    for (int i = 0; i < 30; i++) {
      callers.add(fleet.send(i % 4, LimitLoad.POOL.next(fleet, random)));
    }
    fleet.advance(Duration.ofMillis(20));

    List<RelayFixture.RecordedCaller> refused =
        callers.stream().filter(caller -> caller.refusal() != null).toList();
    assertThat(refused.size()).isAtLeast(20);
    for (RelayFixture.RecordedCaller caller : refused) {
      assertThat(caller.refusal()).isEqualTo(RelayRefusal.OVERLOADED);
      assertThat(caller.retryAfter()).isGreaterThan(Duration.ZERO);
      assertThat(caller.retryAfter()).isAtMost(Duration.ofSeconds(3));
    }
  }

  /** Guards against a warm-up whose effect outlasts it. */
  @Test
  void serversThatAreWarmAgainServeAllRequests() {
    RelayFleet fleet = newFleet(8, 10, 4, 2);
    Random random = new Random(2);
    fleet.turnCold(fleet.engines().serversOf(RelayFixture.POOL));
    LimitLoad.POOL.play(fleet, random, Duration.ofSeconds(4), 60);
    // Warm engines refuse some of twice as many, since their slots are full.
    ImmutableList<RelayFixture.RecordedCaller> callers =
        LimitLoad.POOL.play(fleet, random, Duration.ofSeconds(4), 30);
    fleet.advance(Duration.ofSeconds(6));

    long served = callers.stream().filter(RelayFixture.RecordedCaller::ended).count();
    assertThat(served).isEqualTo(callers.size());
  }
}
