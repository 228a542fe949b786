package dev.apricotmill.node.relay;

import com.google.common.collect.Comparators;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Iterables;
import dev.apricotmill.coordination.membership.Member;
import dev.apricotmill.coordination.membership.RendezvousHash;
import dev.apricotmill.coordination.time.Timing;
import dev.apricotmill.core.pool.ColdServers;
import dev.apricotmill.core.pool.ColdShare;
import dev.apricotmill.core.pool.LimitedServers;
import dev.apricotmill.core.pool.RampingServers;
import dev.apricotmill.core.pool.SendWindows;
import dev.apricotmill.core.pool.WorkReport;
import dev.apricotmill.core.relay.BackendServer;
import dev.apricotmill.core.relay.ColdStart;
import dev.apricotmill.core.relay.ColdTolerance;
import dev.apricotmill.core.relay.ServiceProfile;
import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.core.request.RequestId;
import dev.apricotmill.core.request.ServiceName;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Keeps which servers are cold or start slowly, grants requests to them as a dispatcher, and bounds
 * what this node itself sends to a cold one. Runs on the relay's executor.
 */
public final class ServerRamps {

  private static final Duration CHECK_PERIOD = Duration.ofMillis(250);

  /** Above the number of servers of the largest deployment and their predecessors. */
  private static final int MAX_SEEN_INSTANCES = 8_192;

  private final Timing timing;
  private final EventLog log;
  private final ColdServers coldServers = new ColdServers();
  private final RampingServers ramping = new RampingServers();
  private final SendWindows sendWindows = new SendWindows();
  private final Map<ServiceName, ColdStart> coldStarts = new HashMap<>();
  private final Set<ServiceName> pools = new LinkedHashSet<>();
  private final Set<LimitedServers.Instance> seen = new LinkedHashSet<>();
  private final Set<LimitedServers.Instance> ready = new LinkedHashSet<>();
  private final Map<ReplicaId, Integer> shares = new HashMap<>();
  private Optional<ColdTolerance> tolerance = Optional.empty();
  private ImmutableMap<ReplicaId, BackendServer> listed = ImmutableMap.of();
  private ImmutableSet<LimitedServers.Instance> instances = ImmutableSet.of();
  private ImmutableList<Member> members = ImmutableList.of();
  private Optional<Member> self = Optional.empty();
  private boolean checkScheduled;
  private volatile int coldCount;
  private volatile int rampCount;

  ServerRamps(Timing timing, EventLog log) {
    this.timing = timing;
    this.log = log;
  }

  /** Sets how far a cold server's rate may be exceeded, if the deployment has such a bound. */
  public void setTolerance(Optional<ColdTolerance> newTolerance) {
    tolerance = newTolerance;
  }

  /** Updates the nodes among which the bound of each cold server is divided. */
  void updateMembers(ImmutableList<Member> newMembers, Member newSelf) {
    members = newMembers;
    self = Optional.of(newSelf);
    shares.clear();
  }

  /** Updates the services and their servers. */
  void update(ServingView view) {
    view.configuration()
        .ifPresent(configuration -> configuration.services().values().forEach(this::update));
    if (view.servers().isEmpty() || (coldStarts.isEmpty() && tolerance.isEmpty())) {
      return;
    }
    boolean first = seen.isEmpty();
    listed = view.servers().get().serversById();
    instances =
        listed.values().stream()
            .map(LimitedServers.Instance::of)
            .collect(ImmutableSet.toImmutableSet());
    listed.values().forEach(server -> update(server, first));
    ready.retainAll(instances);
    if (seen.size() > MAX_SEEN_INSTANCES) {
      seen.retainAll(instances);
    }
    coldServers.retainAll(instances, timing.nanoTime());
    sendWindows.retainAll(listed.keySet());
    shares.keySet().retainAll(listed.keySet());
    check();
  }

  private void update(ServiceProfile profile) {
    if (profile.engine().isPresent()) {
      pools.add(profile.name());
    }
    profile
        .coldStart()
        .ifPresentOrElse(
            coldStart -> {
              if (!coldStart.equals(coldStarts.put(profile.name(), coldStart))) {
                shares.clear();
              }
            },
            () -> coldStarts.remove(profile.name()));
  }

  /**
   * Presumes a server cold that has started, or accepts requests again, for the warm-up time of its
   * service.
   */
  private void update(BackendServer server, boolean first) {
    LimitedServers.Instance instance = LimitedServers.Instance.of(server);
    boolean isNew = seen.add(instance);
    if (!server.ready()) {
      ready.remove(instance);
      return;
    }
    if (!ready.add(instance) || !isEnabled(server.service())) {
      return;
    }
    ColdStart coldStart = coldStarts.get(server.service());
    if (coldStart != null) {
      Duration age =
          first
              ? Duration.ofMillis(timing.clock().millis() - server.startedMillis())
              : Duration.ZERO;
      coldServers.onCold(instance, coldStart.duration().minus(age), timing.nanoTime());
    }
    if (!first && isNew) {
      begin(server, RampingServers.Cause.STARTED);
    }
  }

  /**
   * Records how long a server is still cold, as its entry says.
   *
   * @param startedMillis when it started, in milliseconds of Unix time
   * @param entryVersion the version of the entry
   */
  public void onEntry(ReplicaId server, long startedMillis, long entryVersion, Duration left) {
    coldServers.onEntry(
        new LimitedServers.Instance(server, startedMillis), entryVersion, left, timing.nanoTime());
  }

  /** Records that a server has said in a response that it is cold. */
  void onCold(BackendServer server, Duration left) {
    coldServers.onCold(LimitedServers.Instance.of(server), left, timing.nanoTime());
    check();
  }

  /** Returns whether servers of a service start slowly. */
  boolean isEnabled(ServiceName service) {
    return tolerance.isPresent() || coldStarts.containsKey(service);
  }

  private void begin(BackendServer server, RampingServers.Cause cause) {
    if (pools.contains(server.service()) && ramping.begin(server, timing.nanoTime())) {
      log.write(
          "ramp.began",
          ImmutableMap.of(
              "server", server.id().value(), "service", server.service().value(), "cause", cause));
      scheduleCheck();
    }
  }

  /** Begins ramps of cold servers, ends those that are complete, and counts both. */
  private void check() {
    long now = timing.nanoTime();
    int cold = 0;
    for (BackendServer server : listed.values()) {
      if (isCold(server)) {
        cold++;
        begin(server, RampingServers.Cause.COLD);
      }
    }
    coldCount = cold;
    ramping
        .endComplete(instances, this::isCold, now)
        .forEach(
            ended ->
                log.write(
                    "ramp.ended",
                    ImmutableMap.of(
                        "server", ended.server().id().value(),
                        "service", ended.server().service().value(),
                        "lasted_ms", ended.lasted().toMillis())));
    rampCount = ramping.size();
    if (cold > 0 || !ramping.isEmpty()) {
      scheduleCheck();
    }
  }

  private void scheduleCheck() {
    if (!checkScheduled) {
      checkScheduled = true;
      timing.schedule(
          CHECK_PERIOD,
          () -> {
            checkScheduled = false;
            check();
          });
    }
  }

  /** Returns the number of cold servers; on any thread. */
  int coldCount() {
    return coldCount;
  }

  /** Returns the number of servers that start slowly; on any thread. */
  int rampCount() {
    return rampCount;
  }

  /** Returns whether a server is cold and its service has a limit for such servers. */
  boolean isCold(BackendServer server) {
    return mayHaveCold()
        && coldStarts.containsKey(server.service())
        && coldServers.isCold(LimitedServers.Instance.of(server), timing.nanoTime());
  }

  private boolean mayHaveCold() {
    return coldServers.mayHaveCold(timing.nanoTime());
  }

  /** Returns whether no grant needs to look at ramps. */
  boolean isEmpty() {
    return ramping.isEmpty();
  }

  /** Returns the time until a server may be granted a request; zero if it may now. */
  Duration timeUntilFree(BackendServer server) {
    return ramping.timeUntilFree(server, timing.nanoTime());
  }

  /**
   * Records a request that is placed on a server.
   *
   * @param allowed the time in which its response must begin to be on time
   */
  void onGranted(BackendServer server, RequestId request, Duration allowed) {
    ramping.onGranted(server, request, allowed, timing.nanoTime());
  }

  /**
   * Takes a request from what this node may grant of a cold server's rate.
   *
   * @param share the node's share of the rate
   */
  void takeFromColdRate(BackendServer server, double share) {
    if (isCold(server)) {
      double rate = coldStarts.get(server.service()).requestsPerSecond();
      ramping.takeFromColdRate(
          server, rate * Math.max(share, GrantShare.BESIDE_ANOTHER), timing.nanoTime());
    }
  }

  /** Learns from a report how a server answers. */
  void onReport(WorkReport report) {
    if (!isEnabled(report.service())) {
      return;
    }
    long now = timing.nanoTime();
    if (report instanceof WorkReport.FirstEvent firstEvent) {
      ramping.onAnswered(firstEvent.request(), now);
    } else if (report instanceof WorkReport.Ended ended) {
      if (ended.completed()) {
        ramping.onAnswered(ended.request(), now);
      }
      ramping.onReleased(ended.request(), now);
    } else if (report instanceof WorkReport.Failed failed) {
      BackendServer server = listed.get(failed.server());
      if (server != null) {
        begin(server, RampingServers.Cause.FAILED);
        ramping.onFailure(server, now);
      }
    }
  }

  /** Returns whether this node may send a request to a server now. */
  boolean acceptsSend(BackendServer server) {
    return !isCold(server)
        || sendWindows
            .timeUntilFree(server.id(), share(server), timing.nanoTime())
            .filter(Duration::isZero)
            .isPresent();
  }

  /** Counts a request that this node sends, and returns whether it may send it. */
  boolean tryTakeSend(BackendServer server) {
    if (!coldStarts.containsKey(server.service())) {
      return true;
    }
    if (isCold(server)) {
      return sendWindows.tryTake(server.id(), share(server), timing.nanoTime());
    }
    // If the server turns cold within a second, this request counts.
    sendWindows.record(server.id(), timing.nanoTime());
    return true;
  }

  /** Returns those of some servers to which this node may send nothing now. */
  ImmutableSet<ReplicaId> notAcceptingSend(Collection<BackendServer> servers) {
    return mayHaveCold() ? ids(servers, server -> !acceptsSend(server)) : ImmutableSet.of();
  }

  private static ImmutableSet<ReplicaId> ids(
      Collection<BackendServer> servers, Predicate<BackendServer> filter) {
    return servers.stream()
        .filter(filter)
        .map(BackendServer::id)
        .collect(ImmutableSet.toImmutableSet());
  }

  /**
   * Returns the time until this node may send a request to one of some servers; empty if it may
   * now.
   */
  Optional<Duration> timeUntilAnyAcceptsSend(Collection<BackendServer> servers) {
    if (!mayHaveCold() || servers.isEmpty() || servers.stream().anyMatch(this::acceptsSend)) {
      return Optional.empty();
    }
    return servers.stream().map(this::timeUntilAcceptsSend).min(Duration::compareTo);
  }

  private Duration timeUntilAcceptsSend(BackendServer server) {
    long now = timing.nanoTime();
    Duration untilWarm = coldServers.timeLeft(LimitedServers.Instance.of(server), now);
    return sendWindows
        .timeUntilFree(server.id(), share(server), now)
        .map(wait -> Comparators.min(wait, untilWarm))
        .orElse(untilWarm);
  }

  /** Returns the requests of any second that this node may send to a cold server. */
  private int share(BackendServer server) {
    return shares.computeIfAbsent(server.id(), id -> newShare(server));
  }

  private int newShare(BackendServer server) {
    ImmutableList<Member> ranked =
        RendezvousHash.ranked(members, server.id().value())
            .collect(ImmutableList.toImmutableList());
    int rank =
        Iterables.indexOf(
            ranked,
            member ->
                self.filter(own -> own.incarnation().daemon().equals(member.incarnation().daemon()))
                    .isPresent());
    ColdStart coldStart = coldStarts.get(server.service());
    return rank < 0 || coldStart == null
        ? 0
        : ColdShare.requestsPerSecond(
            tolerance.orElse(ColdTolerance.NONE).bound(coldStart), rank, ranked.size());
  }
}
