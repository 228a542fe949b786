package dev.apricotmill.node.relay;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;

/** What servers received that had named limits, and the rule that this breaks. */
final class LimitRecord {

  private static final Duration WINDOW = Duration.ofSeconds(4);
  private static final double TOLERANCE = 1.5;
  private static final int SPARE_REQUESTS = 5;

  /** A limit binds only this long after it was first named. */
  private static final Duration STABLE_WINDOW = Duration.ofSeconds(3);

  /** A limit binds a node this long after it received a response that named it. */
  private static final Duration REACTION = Duration.ofMillis(500);

  private final List<Arrival> arrivals = new ArrayList<>();
  private final Map<ServerNoticeRecord.Link, Duration> toldAt = new HashMap<>();
  private final Map<FleetServer.Instance, Limit> limits = new HashMap<>();
  private final List<Excuse> excuses = new ArrayList<>();

  /** A request or an order that reached a server. */
  private record Arrival(ServerNoticeRecord.Link link, Duration at) {}

  /** A limit that a server named, from its first to its last response that did so. */
  private record Limit(double requestsPerSecond, Duration from, Optional<Duration> end) {

    boolean binds(Duration at) {
      return at.compareTo(from.plus(STABLE_WINDOW)) >= 0
          && end.filter(ended -> at.compareTo(ended) >= 0).isEmpty();
    }

    int allowed() {
      return (int) (TOLERANCE * requestsPerSecond * WINDOW.toSeconds()) + SPARE_REQUESTS;
    }
  }

  /** A time in which a node was disturbed. */
  private record Excuse(int node, Duration from, Duration end) {

    boolean covers(Arrival arrival) {
      return arrival.link().node() == node
          && arrival.at().compareTo(from) >= 0
          && arrival.at().compareTo(end.plus(STABLE_WINDOW)) < 0;
    }
  }

  void arrived(ServerNoticeRecord.Link link, Duration at) {
    arrivals.add(new Arrival(link, at));
  }

  /** Lets a server name a limit in each response from now on. */
  void limit(FleetServer server, double requestsPerSecond, Duration at) {
    server.setRequestsPerSecond(OptionalDouble.of(requestsPerSecond));
    limits.put(server.instance(), new Limit(requestsPerSecond, at, Optional.empty()));
  }

  /** Lets a server name no limit any more. */
  void endLimit(FleetServer server, Duration at) {
    server.setRequestsPerSecond(OptionalDouble.empty());
    limits.computeIfPresent(
        server.instance(),
        (instance, limit) -> new Limit(limit.requestsPerSecond(), limit.from(), Optional.of(at)));
  }

  void told(ServerNoticeRecord.Link link, Duration at) {
    toldAt.putIfAbsent(link, at);
  }

  void excuse(int node, Duration from, Duration end) {
    excuses.add(new Excuse(node, from, end));
  }

  /** Returns how many requests a server got in a time. */
  long arrivalsAt(FleetServer.Instance server, Duration from, Duration end) {
    return arrivals.stream()
        .filter(arrival -> arrival.link().server().equals(server))
        .filter(arrival -> arrival.at().compareTo(from) >= 0 && arrival.at().compareTo(end) < 0)
        .count();
  }

  /** Returns the first window of each limited server in which it got more than it allows. */
  ImmutableList<String> overruns() {
    return limits.entrySet().stream()
        .flatMap(entry -> overrun(entry.getKey(), entry.getValue()).stream())
        .collect(ImmutableList.toImmutableList());
  }

  private Optional<String> overrun(FleetServer.Instance server, Limit limit) {
    Deque<Arrival> window = new ArrayDeque<>();
    for (Arrival arrival : arrivals) {
      if (!arrival.link().server().equals(server) || !counts(arrival, limit)) {
        continue;
      }
      window.addLast(arrival);
      while (window.getFirst().at().compareTo(arrival.at().minus(WINDOW)) <= 0) {
        window.removeFirst();
      }
      if (window.size() > limit.allowed()) {
        return Optional.of(
            String.format(
                "%s got %s requests in %s ms to %s ms with a limit of %s since %s ms; allowed %s",
                server,
                window.size(),
                window.getFirst().at().toMillis(),
                arrival.at().toMillis(),
                limit.requestsPerSecond(),
                limit.from().toMillis(),
                limit.allowed()));
      }
    }
    return Optional.empty();
  }

  private boolean counts(Arrival arrival, Limit limit) {
    Duration told = toldAt.get(arrival.link());
    return limit.binds(arrival.at())
        && told != null
        && arrival.at().compareTo(told.plus(REACTION)) >= 0
        && excuses.stream().noneMatch(excuse -> excuse.covers(arrival));
  }
}
