package dev.apricotmill.node.relay;

import com.google.common.collect.ImmutableMap;
import dev.apricotmill.coordination.time.Timing;
import dev.apricotmill.core.pool.LimitedServers;
import dev.apricotmill.core.relay.BackendServer;
import dev.apricotmill.core.relay.ServerNotice;
import java.util.OptionalDouble;

/**
 * Keeps the limits that servers name of the requests that they take from all nodes together, and
 * logs when they begin and end. Runs on the relay's executor.
 */
public final class BackendLimits implements ServerNoticeListener {

  private final Timing timing;
  private final EventLog log;
  private final LimitedServers servers = new LimitedServers();

  /** Creates limits of which none is named. */
  public BackendLimits(Timing timing, EventLog log) {
    this.timing = timing;
    this.log = log;
  }

  @Override
  public void onNotice(BackendServer server, ServerNotice notice) {
    notice
        .requestsPerSecond()
        .ifPresent(limit -> timing.scheduler().execute(() -> onNamed(server, limit)));
  }

  private void onNamed(BackendServer server, double requestsPerSecond) {
    LimitedServers.Instance instance = LimitedServers.Instance.of(server);
    if (servers.name(instance, requestsPerSecond, timing.nanoTime())) {
      log.write(
          "server.limit_named",
          ImmutableMap.of(
              "server",
              server.id().value(),
              "service",
              server.service().value(),
              "requests_per_second",
              requestsPerSecond));
    }
  }

  /**
   * Records the head of a response, after the notice in it.
   *
   * @param sentNanos when the request was sent
   */
  void onResponse(BackendServer server, long sentNanos) {
    if (!servers.isEmpty()
        && servers.respondWithout(LimitedServers.Instance.of(server), sentNanos)) {
      log.write(
          "server.limit_ended",
          ImmutableMap.of("server", server.id().value(), "service", server.service().value()));
    }
  }

  /** Returns the limit that a server has named; empty if it has none. */
  OptionalDouble requestsPerSecond(BackendServer server) {
    return servers.requestsPerSecond(LimitedServers.Instance.of(server));
  }
}
