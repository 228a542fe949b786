package dev.apricotmill.node.relay;

import com.google.common.collect.Comparators;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import dev.apricotmill.coordination.time.Timing;
import dev.apricotmill.core.pool.ExcludedHelpers;
import dev.apricotmill.core.pool.LimitedServers;
import dev.apricotmill.core.pool.WorkReport;
import dev.apricotmill.core.relay.BackendServer;
import dev.apricotmill.core.relay.ServerNotice;
import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.core.request.ServiceName;
import java.time.Duration;
import java.util.Collection;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;

/**
 * Keeps the limits that servers name of the requests that they take from all nodes together, and
 * the requests that this node has granted within them as the dispatcher of a service.
 *
 * <p>Runs on the relay's executor.
 */
public final class BackendLimits implements ServerNoticeListener {

  private final Timing timing;
  private final EventLog log;
  private final LimitedServers servers = new LimitedServers();
  private final ServerRamps ramps;

  /** The servers whose limits this node knows from a dispatcher alone. */
  private final Set<LimitedServers.Instance> heard = new HashSet<>();

  private Consumer<WorkReport.Limited> listener = report -> {};

  /** Creates limits of which none is named. */
  public BackendLimits(Timing timing, EventLog log) {
    this.timing = timing;
    this.log = log;
    ramps = new ServerRamps(timing, log);
  }

  /** Returns which servers are cold or start slowly. */
  public ServerRamps ramps() {
    return ramps;
  }

  /** Sets who learns of each response that names a limit, and of each limit's end. */
  void setListener(Consumer<WorkReport.Limited> newListener) {
    listener = newListener;
  }

  @Override
  public void onNotice(BackendServer server, ServerNotice notice) {
    notice.cold().ifPresent(left -> timing.scheduler().execute(() -> ramps.onCold(server, left)));
    if (notice.requestsPerSecond().isPresent()) {
      timing.scheduler().execute(() -> onNamed(server, notice.requestsPerSecond()));
    }
  }

  private void onNamed(BackendServer server, OptionalDouble requestsPerSecond) {
    heard.remove(LimitedServers.Instance.of(server));
    WorkReport.Limited report = newReport(server, requestsPerSecond, timing.nanoTime());
    apply(report);
    listener.accept(report);
  }

  /**
   * Records the head of a response, after the notice in it.
   *
   * @param sentNanos when the request was sent
   */
  void onResponse(BackendServer server, long sentNanos) {
    LimitedServers.Instance instance = LimitedServers.Instance.of(server);
    OptionalLong named = servers.namedNanos(instance);
    if (named.isEmpty() || named.getAsLong() - sentNanos > 0) {
      return;
    }
    if (heard.contains(instance)) {
      forget(server);
    }
    WorkReport.Limited report = newReport(server, OptionalDouble.empty(), sentNanos);
    apply(report);
    listener.accept(report);
  }

  /** Applies what a server has said to this node or to another one. */
  void apply(WorkReport.Limited report) {
    long now = timing.nanoTime();
    long atNanos = now - report.age().toNanos();
    if (report.requestsPerSecond().isEmpty()) {
      if (servers.respondWithout(report.instance(), atNanos)) {
        logEnd(report.service(), report.instance());
      }
      return;
    }
    double requestsPerSecond = report.requestsPerSecond().getAsDouble();
    if (servers.name(report.instance(), requestsPerSecond, atNanos, now)) {
      log.write(
          "server.limit_named",
          ImmutableMap.of(
              "server",
              report.instance().server().value(),
              "service",
              report.service().value(),
              "requests_per_second",
              requestsPerSecond));
    }
  }

  /** Compares what the dispatcher knows of a server that it has granted. */
  Optional<WorkReport> onGranted(BackendServer server, OptionalDouble requestsPerSecond) {
    LimitedServers.Instance instance = LimitedServers.Instance.of(server);
    if (requestsPerSecond.isPresent()) {
      if (!isLimited(server)) {
        heard.removeIf(other -> servers.namedNanos(other).isEmpty());
        heard.add(instance);
        apply(newReport(server, requestsPerSecond, timing.nanoTime()));
      }
      return Optional.empty();
    }
    if (heard.contains(instance)) {
      forget(server);
    }
    return report(server);
  }

  private void forget(BackendServer server) {
    LimitedServers.Instance instance = LimitedServers.Instance.of(server);
    heard.remove(instance);
    servers.forget(instance);
    logEnd(server.service(), instance);
  }

  private WorkReport.Limited newReport(
      BackendServer server, OptionalDouble requestsPerSecond, long atNanos) {
    return new WorkReport.Limited(
        server.service(),
        LimitedServers.Instance.of(server),
        requestsPerSecond,
        Duration.ofNanos(timing.nanoTime() - atNanos));
  }

  private void logEnd(ServiceName service, LimitedServers.Instance instance) {
    log.write(
        "server.limit_ended",
        ImmutableMap.of("server", instance.server().value(), "service", service.value()));
  }

  /** Forgets the limits of servers that have long been gone from the list. */
  void update(Collection<BackendServer> listed) {
    if (!servers.isEmpty()) {
      servers.forgetAbsent(
          listed.stream().map(LimitedServers.Instance::of).collect(Collectors.toSet()),
          timing.nanoTime());
    }
  }

  /** Returns whether each server may get any request. */
  boolean isEmpty() {
    return servers.isEmpty() && ramps.isEmpty();
  }

  /** Returns whether a server has a limit. */
  boolean isLimited(BackendServer server) {
    return !servers.isEmpty() && requestsPerSecond(server).isPresent();
  }

  /** Returns the limit of a server; empty if it has none. */
  OptionalDouble requestsPerSecond(BackendServer server) {
    return servers.requestsPerSecond(LimitedServers.Instance.of(server));
  }

  /**
   * Returns what another dispatcher must know of a server; empty if no response to this node has
   * named a limit.
   */
  Optional<WorkReport> report(BackendServer server) {
    LimitedServers.Instance instance = LimitedServers.Instance.of(server);
    return servers.namedNanos(instance).isEmpty() || heard.contains(instance)
        ? Optional.empty()
        : Optional.of(
            newReport(
                server,
                servers.requestsPerSecond(instance),
                servers.namedNanos(instance).getAsLong()));
  }

  /** Returns those of some servers that have a limit. */
  ImmutableSet<ReplicaId> limited(Collection<BackendServer> candidates) {
    return candidates.stream()
        .filter(this::isLimited)
        .map(BackendServer::id)
        .collect(ImmutableSet.toImmutableSet());
  }

  /**
   * Returns those of some servers that may get no request now.
   *
   * @param share the share of their limits that this node grants from; without one it grants no
   *     server with a limit
   */
  ImmutableSet<ReplicaId> notFree(Collection<BackendServer> candidates, double share) {
    return candidates.stream()
        .filter(
            server ->
                (share <= GrantShare.NONE && isLimited(server))
                    || timeUntilFree(server).compareTo(Duration.ZERO) > 0)
        .map(BackendServer::id)
        .collect(ImmutableSet.toImmutableSet());
  }

  private Duration timeUntilFree(BackendServer server) {
    return Comparators.max(
        servers.timeUntilFree(server, timing.nanoTime()), ramps.timeUntilFree(server));
  }

  /** Returns the shortest time until one of some servers may get a request. */
  Optional<Duration> timeUntilAnyIsFree(Collection<BackendServer> candidates) {
    return candidates.stream().map(this::timeUntilFree).min(Duration::compareTo);
  }

  /** Returns those of some servers that must not help with a prompt. */
  ExcludedHelpers excludedHelpers(Collection<BackendServer> candidates) {
    ImmutableSet<ReplicaId> cold =
        candidates.stream()
            .filter(ramps::isCold)
            .map(BackendServer::id)
            .collect(ImmutableSet.toImmutableSet());
    return new ExcludedHelpers(cold, limited(candidates));
  }

  /**
   * Takes a request from what a server's limit allows.
   *
   * @param share the share of the limit that this node grants from
   */
  void take(BackendServer server, double share) {
    servers.take(server, share, timing.nanoTime());
  }
}
