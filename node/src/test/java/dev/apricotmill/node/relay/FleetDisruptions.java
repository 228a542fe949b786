package dev.apricotmill.node.relay;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.Lists;
import dev.apricotmill.core.request.ServiceName;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.function.IntPredicate;

/**
 * Lets servers leave and pause and disturbs nodes, at random. Depends on the seed alone, not on
 * what the nodes do, so that two series with one seed have the same disruptions.
 */
final class FleetDisruptions {

  private static final double LEAVES_PER_TICK = 0.005;
  private static final double PAUSES_PER_TICK = 0.007;
  private static final double DESK_SHARE = 0.3;
  private static final double NODE_DISTURBANCES_PER_TICK = 0.008;

  private final RelayFleet fleet;
  private final Random random;
  private final List<String> trace = new ArrayList<>();

  FleetDisruptions(RelayFleet fleet, Random random) {
    this.fleet = fleet;
    this.random = random;
  }

  /** Returns what was done, in order. */
  ImmutableList<String> trace() {
    return ImmutableList.copyOf(trace);
  }

  void tick() {
    if (random.nextDouble() < LEAVES_PER_TICK) {
      someServers().forEach(this::leave);
    }
    if (random.nextDouble() < PAUSES_PER_TICK) {
      pause(someServers());
    }
    if (random.nextDouble() < NODE_DISTURBANCES_PER_TICK) {
      disturbNodes();
    }
  }

  /** Returns up to a third of the servers of a service that do not leave yet. */
  private ImmutableList<FleetServer> someServers() {
    ServiceName service = random.nextDouble() < DESK_SHARE ? RelayFixture.DESK : RelayFixture.POOL;
    List<FleetServer> staying =
        new ArrayList<>(
            fleet.engines().serversOf(service).stream()
                .filter(server -> !server.isLeaving())
                .toList());
    Collections.shuffle(staying, random);
    int count = 1 + random.nextInt(Math.max(1, staying.size() / 3));
    return staying.stream().limit(count).collect(ImmutableList.toImmutableList());
  }

  private void leave(FleetServer server) {
    FleetServer.ListEntry[] entries = FleetServer.ListEntry.values();
    FleetServer.Departure departure =
        new FleetServer.Departure(
            entries[random.nextInt(entries.length)],
            millis(200, 5_000),
            millis(4_000, 10_000),
            random.nextInt(4) == 0);
    note("leaves", server.instance() + " " + departure);
    fleet.engines().leave(server, departure);
  }

  private void pause(ImmutableList<FleetServer> servers) {
    Duration duration = millis(600, 5_000);
    int share = 1 + random.nextInt(3);
    int rest = random.nextInt(share);
    IntPredicate nodes = node -> node % share == rest;
    note(
        "pause",
        Lists.transform(servers, FleetServer::instance)
            + String.format(" %s, nodes %% %s = %s", duration, share, rest));
    servers.forEach(server -> server.pause(fleet.now().plus(duration), nodes));
  }

  private void disturbNodes() {
    int node = random.nextInt(fleet.nodeCount());
    switch (random.nextInt(8)) {
      case 0, 1 -> {
        note("restart", fleet.name(node));
        fleet.restart(node);
      }
      case 2, 3 -> {
        Duration duration = millis(300, 3_000);
        note("freeze", fleet.name(node) + " " + duration);
        fleet.freeze(node, duration);
      }
      case 4, 5 -> {
        Duration duration = millis(1_000, 6_000);
        int count = 1 + random.nextInt(fleet.nodeCount());
        note("cut from list", count + " nodes from " + fleet.name(node) + " on, " + duration);
        for (int i = 0; i < count; i++) {
          fleet.cutFromList((node + i) % fleet.nodeCount(), duration);
        }
      }
      case 6 -> {
        Duration duration = millis(1_000, 6_000);
        note("cut from nodes", fleet.name(node) + " " + duration);
        fleet.cutFromPeers(node, duration);
      }
      default -> {
        Duration duration = millis(1_000, 6_000);
        note("cut from all", fleet.name(node) + " " + duration);
        fleet.cutFromList(node, duration);
        fleet.cutFromPeers(node, duration);
      }
    }
  }

  private Duration millis(int from, int to) {
    return Duration.ofMillis(from + random.nextInt(to - from));
  }

  private void note(String event, String details) {
    trace.add(fleet.now().toMillis() + " ms " + event + " " + details);
  }
}
