package dev.apricotmill.node.relay;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.core.relay.ServerNotice;
import dev.apricotmill.core.request.RequestId;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** What servers received and what they said of themselves, and the rules that this breaks. */
final class ServerNoticeRecord {

  /** Requests on their way when a pause begins may still arrive within this time. */
  private static final Duration PAUSE_REACTION = Duration.ofMillis(500);

  /** Requests of one node that may arrive in the rest of a pause. */
  static final int MAX_ARRIVALS_IN_PAUSE = 2;

  private final Map<RequestId, Duration> accepted = new HashMap<>();
  private final Set<RequestId> run = new HashSet<>();
  private final List<Arrival> arrivals = new ArrayList<>();
  private final Map<Link, Duration> leavingNotices = new HashMap<>();
  private final List<Pause> pauses = new ArrayList<>();
  private final LimitRecord limits = new LimitRecord();
  private final ColdRecord colds = new ColdRecord();

  /** A node and an instance of a server. */
  record Link(int node, FleetServer.Instance server) {}

  /**
   * A request that reached a server, which may have refused it.
   *
   * @param renewal whether it renewed memory that the server had reserved before
   */
  private record Arrival(RequestId request, Link link, Duration at, boolean renewal) {}

  /**
   * A pause that a server asked of a node.
   *
   * @param knownAt when the node received it
   * @param end when it ended
   */
  private record Pause(Link link, Duration knownAt, Duration end) {

    boolean binds(Arrival arrival) {
      return arrival.link().equals(link)
          && arrival.at().compareTo(knownAt.plus(PAUSE_REACTION)) > 0
          && arrival.at().compareTo(end) < 0;
    }
  }

  /** Returns what servers received that had named limits. */
  LimitRecord limits() {
    return limits;
  }

  /** Returns what cold servers received. */
  ColdRecord colds() {
    return colds;
  }

  void accepted(RequestId request, Duration at) {
    accepted.put(request, at);
  }

  void arrived(RequestId request, Link link, Duration at, boolean renewal) {
    arrivals.add(new Arrival(request, link, at, renewal));
    limits.arrived(link, at);
    colds.arrived(link.node(), link.server(), at);
  }

  /** Records that a server began to run a request. */
  void run(RequestId request) {
    run.add(request);
  }

  /** Returns whether a server began to run a request. */
  boolean hasRun(RequestId request) {
    return run.contains(request);
  }

  /** Records that a node received a notice. */
  void received(Link link, ServerNotice notice, Duration at) {
    if (notice.leaving()) {
      leavingNotices.putIfAbsent(link, at);
    }
    notice.requestsPerSecond().ifPresent(limit -> limits.told(link, at));
    notice.pause().ifPresent(pause -> pauses.add(new Pause(link, at, at.plus(pause))));
  }

  /** Returns whether a request reached a server at {@code from} or later. */
  boolean hasArrivalSince(FleetServer.Instance server, Duration from) {
    return arrivals.stream()
        .anyMatch(
            arrival -> arrival.link().server().equals(server) && arrival.at().compareTo(from) >= 0);
  }

  /** Returns how many notices and arrivals there were. */
  String summary() {
    return String.format(
        "%s arrivals; nodes learned %s times that a server leaves; %s pauses with %s requests",
        arrivals.size(),
        leavingNotices.size(),
        pauses.size(),
        pauses.stream().mapToLong(pause -> arrivalsWithin(pause).size()).sum());
  }

  /**
   * Returns the requests that reached a leaving server from a node that had accepted them later
   * than {@code bound} after it had learned that the server leaves.
   */
  ImmutableList<String> lateArrivalsAtLeavingServers(Duration bound) {
    return arrivals.stream()
        .filter(arrival -> leavingNotices.containsKey(arrival.link()))
        .filter(arrival -> acceptedAt(arrival).compareTo(noticedAt(arrival).plus(bound)) > 0)
        .map(this::describe)
        .collect(ImmutableList.toImmutableList());
  }

  /**
   * Returns the requests that a node sent to a leaving server, whenever it had accepted them, after
   * it had learned that the server leaves. Memory of open requests may be renewed.
   */
  ImmutableList<String> arrivalsAfterLeavingNotice() {
    return arrivals.stream()
        .filter(arrival -> !arrival.renewal() && leavingNotices.containsKey(arrival.link()))
        .filter(
            arrival -> arrival.at().compareTo(noticedAt(arrival).plus(EngineFleet.ROUND_TRIP)) > 0)
        .map(this::describe)
        .collect(ImmutableList.toImmutableList());
  }

  private String describe(Arrival arrival) {
    return String.format(
        "%s of node %s reached leaving %s at %s ms; accepted at %s ms, known since %s ms",
        arrival.request().value(),
        arrival.link().node(),
        arrival.link().server(),
        arrival.at().toMillis(),
        acceptedAt(arrival).toMillis(),
        noticedAt(arrival).toMillis());
  }

  /** Returns the pauses in which more requests of their node arrived than may. */
  ImmutableList<String> overrunPauses() {
    ImmutableList.Builder<String> overrun = ImmutableList.builder();
    for (Pause pause : pauses) {
      ImmutableList<Arrival> within = arrivalsWithin(pause);
      if (within.size() > MAX_ARRIVALS_IN_PAUSE) {
        overrun.add(
            String.format(
                "%s requests of node %s reached %s, paused from %s to %s ms: %s",
                within.size(),
                pause.link().node(),
                pause.link().server(),
                pause.knownAt().toMillis(),
                pause.end().toMillis(),
                within.stream()
                    .map(arrival -> arrival.request().value() + "@" + arrival.at().toMillis())
                    .toList()));
      }
    }
    return overrun.build();
  }

  private ImmutableList<Arrival> arrivalsWithin(Pause pause) {
    return arrivals.stream().filter(pause::binds).collect(ImmutableList.toImmutableList());
  }

  private Duration noticedAt(Arrival arrival) {
    return leavingNotices.get(arrival.link());
  }

  private Duration acceptedAt(Arrival arrival) {
    return accepted.get(arrival.request());
  }
}
