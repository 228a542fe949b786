package dev.apricotmill.node.relay;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.core.prompt.PromptParts;
import dev.apricotmill.core.relay.GenerationSize;
import dev.apricotmill.core.relay.NotRunStatuses;
import dev.apricotmill.core.relay.RelayRefusal;
import dev.apricotmill.core.request.ServiceName;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

/**
 * Sends requests to a fleet whose servers leave and pause while its nodes are disturbed. With one
 * seed, the load and the disruptions are the same whether the servers send notices or not.
 */
final class ServerNoticeSeries {

  private static final Duration TICK = Duration.ofMillis(10);
  private static final Duration CALM = Duration.ofSeconds(2);
  private static final Duration TROUBLE = Duration.ofSeconds(20);

  /** Longer than any cut. */
  private static final Duration RECOVERY = Duration.ofSeconds(7);

  /** A server in use before is known to all nodes, and no longer paused by any. */
  private static final Duration SETTLING = Duration.ofSeconds(1);

  /** Longer than the cool-down of a server after an error. */
  private static final Duration LAST_REQUESTS = Duration.ofSeconds(3);

  private static final Duration END = Duration.ofSeconds(6);
  private static final double ERROR_SHARE = 0.02;
  private static final int DESK_SERVERS = 3;
  private static final int FEW_NODES = 8;
  private static final double PROMPTS_PER_TICK_AND_ENGINE = 0.015;
  private static final double LONG_PROMPT_SHARE = 0.05;
  private static final GenerationSize SHORT_PROMPT = new GenerationSize(1_000, 100);
  private static final GenerationSize LONG_PROMPT = new GenerationSize(500_000, 100);

  private final RelayFleet fleet;
  private final Random load;
  private final FleetDisruptions disruptions;
  private final int engineCount;
  private final List<Sent> sent = new ArrayList<>();
  private final Presence poolPresence = new Presence(RelayFixture.POOL);
  private final Presence deskPresence = new Presence(RelayFixture.DESK);
  private int prompts;

  private ServerNoticeSeries(int nodeCount, int engineCount, long seed, boolean withNotices) {
    this.engineCount = engineCount;
    load = new Random(seed);
    fleet = new RelayFleet(nodeCount, engineCount, seed);
    disruptions = new FleetDisruptions(fleet, new Random(~seed));
    fleet.engines().addServers(RelayFixture.DESK, DESK_SERVERS);
    fleet.engines().setErrorShare(ERROR_SHARE);
    fleet.restartAllNodes();
    if (!withNotices) {
      fleet.engines().suppressNotices();
    }
  }

  /** A request with its caller. */
  private record Sent(
      RelayRequest request, ServiceName service, RelayFixture.RecordedCaller caller) {

    boolean isServed() {
      return caller.status() == 200 && caller.ended() && !caller.aborted();
    }

    /** Returns whether the caller was told that the request was not run. */
    boolean isToldNotRun() {
      RelayRefusal refusal = caller.refusal();
      return refusal != null
          ? refusal.guaranteesNotRun()
          : NotRunStatuses.contains(caller.status());
    }
  }

  /**
   * The outcome of a series.
   *
   * @param record what the servers received and said
   * @param toldNotRun the requests that ran though their callers were told that they did not
   * @param unusedServers the servers without engines that stay, but no longer get requests
   * @param pool the requests to the engines
   * @param desk the requests to the servers without engines
   * @param trace the disruptions
   */
  record Outcome(
      ServerNoticeRecord record,
      ImmutableList<String> toldNotRun,
      ImmutableList<String> unusedServers,
      ServiceOutcome pool,
      ServiceOutcome desk,
      ImmutableList<String> trace) {}

  /**
   * The outcome of the requests to a service.
   *
   * @param requests the number of requests
   * @param servedShare the share that got a complete response
   * @param missingShare the share of the servers' time in which they were leaving
   */
  record ServiceOutcome(long requests, double servedShare, double missingShare) {}

  /** Plays a series and returns its outcome once all requests have ended. */
  static Outcome play(int nodeCount, int engineCount, long seed, boolean withNotices) {
    ServerNoticeSeries series = new ServerNoticeSeries(nodeCount, engineCount, seed, withNotices);
    series.play(CALM, false);
    series.play(TROUBLE, true);
    series.play(RECOVERY, false);
    ImmutableList<FleetServer> usable = series.usableDeskServers();
    Duration lastRequests = series.fleet.now();
    series.play(LAST_REQUESTS, false);
    series.fleet.advance(END);
    return series.outcome(series.unused(usable, lastRequests));
  }

  /** Returns the time after which a node may send nothing more to a server that leaves. */
  static Duration drainBound(int nodeCount) {
    return Duration.ofSeconds(nodeCount <= FEW_NODES ? 2 : 3);
  }

  private void play(Duration duration, boolean disturbed) {
    Duration end = fleet.now().plus(duration);
    while (fleet.now().compareTo(end) < 0) {
      if (disturbed) {
        disruptions.tick();
      }
      for (int i = count(engineCount * PROMPTS_PER_TICK_AND_ENGINE); i > 0; i--) {
        boolean isLong = load.nextDouble() < LONG_PROMPT_SHARE;
        send("/stream/", RelayFixture.POOL, Optional.of(isLong ? LONG_PROMPT : SHORT_PROMPT));
      }
      for (int i = count(0.1 + 0.01 * fleet.nodeCount()); i > 0; i--) {
        send("/order/", RelayFixture.DESK, Optional.empty());
      }
      for (int i = count(0.1 + 0.005 * fleet.nodeCount()); i > 0; i--) {
        send("/read/", RelayFixture.DESK, Optional.empty());
      }
      poolPresence.sample();
      deskPresence.sample();
      fleet.advance(TICK);
    }
  }

  /** Returns a whole number that is {@code mean} on average. */
  private int count(double mean) {
    return (int) (mean + load.nextDouble());
  }

  private void send(String path, ServiceName service, Optional<GenerationSize> size) {
    PromptParts prompt =
        size.isPresent()
            ? EngineFleet.prompt("f" + load.nextInt(3), "d" + load.nextInt(10), "own" + prompts++)
            : PromptParts.NONE;
    RelayRequest request = fleet.newRequest(path, size, prompt);
    sent.add(new Sent(request, service, fleet.send(load.nextInt(fleet.nodeCount()), request)));
  }

  /**
   * Returns the servers without engines that are on all nodes' lists, and neither leave nor pause.
   */
  private ImmutableList<FleetServer> usableDeskServers() {
    Duration settled = fleet.now().minus(SETTLING);
    return fleet.engines().serversOf(RelayFixture.DESK).stream()
        .filter(server -> !server.isLeaving() && !server.isPaused(settled))
        .filter(server -> fleet.engines().age(server).compareTo(SETTLING) > 0)
        .collect(ImmutableList.toImmutableList());
  }

  private ImmutableList<String> unused(ImmutableList<FleetServer> servers, Duration from) {
    return servers.stream()
        .map(FleetServer::instance)
        .filter(server -> !fleet.engines().record().hasArrivalSince(server, from))
        .map(FleetServer.Instance::toString)
        .collect(ImmutableList.toImmutableList());
  }

  private Outcome outcome(ImmutableList<String> unusedServers) {
    ServerNoticeRecord record = fleet.engines().record();
    ImmutableList<String> toldNotRun =
        sent.stream()
            .filter(entry -> entry.isToldNotRun() && record.hasRun(entry.request().id()))
            .map(
                entry ->
                    String.format(
                        "%s %s: %s, status %s",
                        entry.request().id().value(),
                        entry.request().path(),
                        entry.caller().refusal(),
                        entry.caller().status()))
            .collect(ImmutableList.toImmutableList());
    return new Outcome(
        record,
        toldNotRun,
        unusedServers,
        outcome(poolPresence),
        outcome(deskPresence),
        disruptions.trace());
  }

  private ServiceOutcome outcome(Presence presence) {
    List<Sent> requests =
        sent.stream().filter(entry -> entry.service().equals(presence.service)).toList();
    return new ServiceOutcome(
        requests.size(),
        requests.stream().filter(Sent::isServed).count() / (double) requests.size(),
        presence.missing / (double) presence.all);
  }

  /** Adds up how many servers of a service there are, and how many of them are leaving. */
  private final class Presence {
    private final ServiceName service;
    private long all;
    private long missing;

    Presence(ServiceName service) {
      this.service = service;
    }

    void sample() {
      ImmutableList<FleetServer> servers = fleet.engines().serversOf(service);
      all += servers.size();
      missing += servers.stream().filter(FleetServer::isLeaving).count();
    }
  }
}
