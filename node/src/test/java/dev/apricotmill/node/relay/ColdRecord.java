package dev.apricotmill.node.relay;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * What servers received while they were cold, from nodes that had read so, and the bound that this
 * breaks.
 */
final class ColdRecord {

  private static final Duration WINDOW = Duration.ofSeconds(1);

  private final List<Arrival> arrivals = new ArrayList<>();
  private final Map<FleetServer.Instance, List<ColdTime>> coldTimes = new HashMap<>();
  private final Map<FleetServer.Instance, Map<Integer, Duration>> readAt = new HashMap<>();
  private Duration coldTime = Duration.ZERO;

  private record Arrival(FleetServer.Instance server, int node, Duration at) {}

  private record ColdTime(Duration from, Duration end) {

    boolean covers(Duration at) {
      return at.compareTo(from) >= 0 && at.compareTo(end) < 0;
    }
  }

  /** From now on servers are cold for a time after their start. */
  void setColdTime(Duration newColdTime) {
    coldTime = newColdTime;
  }

  void onStart(FleetServer server, Duration at) {
    if (!coldTime.isZero()) {
      turnCold(server, at);
    }
  }

  /** Makes a server cold, and has its entry say so. */
  void turnCold(FleetServer server, Duration at) {
    server.turnCold(at.plus(coldTime));
    coldTimes
        .computeIfAbsent(server.instance(), id -> new ArrayList<>())
        .add(new ColdTime(at, at.plus(coldTime)));
    readAt.remove(server.instance());
  }

  /** Records that a node has read that a server is cold. */
  void read(int node, FleetServer.Instance server, Duration at) {
    readAt.computeIfAbsent(server, id -> new HashMap<>()).putIfAbsent(node, at);
  }

  /** Records a request that a server received; one of a node that cannot know does not count. */
  void arrived(int node, FleetServer.Instance server, Duration at) {
    boolean cold =
        coldTimes.getOrDefault(server, List.of()).stream().anyMatch(time -> time.covers(at));
    Duration read = readAt.getOrDefault(server, Map.of()).get(node);
    if (cold && read != null && at.compareTo(read) >= 0) {
      arrivals.add(new Arrival(server, node, at));
    }
  }

  /** Returns the most requests that any cold server received in any second. */
  int mostInOneSecond() {
    return coldTimes.keySet().stream().mapToInt(this::mostInOneSecond).max().orElse(0);
  }

  private int mostInOneSecond(FleetServer.Instance server) {
    Deque<Duration> window = new ArrayDeque<>();
    int most = 0;
    for (Duration at : arrivalsAt(server).toList()) {
      window.addLast(at);
      while (at.minus(window.getFirst()).compareTo(WINDOW) >= 0) {
        window.removeFirst();
      }
      most = Math.max(most, window.size());
    }
    return most;
  }

  private Stream<Duration> arrivalsAt(FleetServer.Instance server) {
    return arrivals.stream()
        .filter(arrival -> arrival.server().equals(server))
        .map(Arrival::at)
        .sorted();
  }

  /** Returns the number of requests that cold servers received. */
  int arrivals() {
    return arrivals.size();
  }
}
