package dev.apricotmill.node.relay;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.coordination.time.Timing;
import dev.apricotmill.core.prompt.PromptParts;
import dev.apricotmill.core.relay.BackendServer;
import dev.apricotmill.core.relay.ServerNotice;
import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.core.request.RequestId;
import dev.apricotmill.core.request.ServiceName;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The engines of one pool, in virtual time, and servers of services without engines. An engine that
 * begins to write a response to a prompt with a crashing part ends, with all that it runs, and is
 * back under a new identifier later.
 */
final class EngineFleet {

  /** The header with the number of the attempt that a response belongs to. */
  static final String ATTEMPT = "attempt";

  /** The crashes after which a part is to be known, and the time from the last of them. */
  private static final int LEARNING_CRASHES = 5;

  static final Duration LEARNING_TIME = Duration.ofSeconds(3);

  /** Requests with a crashing part that may still be sent once it is to be known. */
  static final int MAX_ARRIVALS_AFTER_LEARNING = 3;

  private static final Duration NETWORK_DELAY = Duration.ofMillis(1);

  /** The time to a server and back. */
  static final Duration ROUND_TRIP = NETWORK_DELAY.multipliedBy(2);

  private static final Duration MIN_FIRST_TOKEN_DELAY = Duration.ofMillis(50);
  private static final int FIRST_TOKEN_SPREAD_MILLIS = 100;
  private static final Duration CRASH_DELAY = Duration.ofMillis(40);
  private static final Duration EVENT_PERIOD = Duration.ofMillis(100);
  private static final int MIN_EVENTS = 5;
  private static final int EVENTS_SPREAD = 15;
  private static final Duration ENTRY_EXPIRY = Duration.ofSeconds(2);
  private static final Duration RESTART_DELAY = Duration.ofSeconds(3);
  private static final Duration WHOLE_RESPONSE_TIME = Duration.ofMillis(60);
  private static final int UNAVAILABLE = 503;
  private static final ImmutableList<Integer> ERRORS = ImmutableList.of(408, 429, 500, UNAVAILABLE);
  private static final int SLOTS = 8;
  private static final int FIRST_PORT = 8000;

  private final Timing timing;
  private final Random random;
  private final Runnable onEntriesChanged;
  private final Map<ReplicaId, FleetServer> servers = new LinkedHashMap<>();
  private final Set<String> crashingParts = new HashSet<>();
  private final List<Arrival> arrivals = new ArrayList<>();
  private final Map<String, Integer> attempts = new HashMap<>();
  private final List<Duration> crashes = new ArrayList<>();
  private final ServerNoticeRecord record = new ServerNoticeRecord();
  private boolean noticesSent = true;
  private double errorShare;
  private int started;

  EngineFleet(Timing timing, Random random, int count, Runnable onEntriesChanged) {
    this.timing = timing;
    this.random = random;
    this.onEntriesChanged = onEntriesChanged;
    addServers(RelayFixture.POOL, count);
  }

  /**
   * A request that reached an engine.
   *
   * @param at when it was sent
   * @param parts the parts of its prompt
   */
  private record Arrival(Duration at, PromptParts parts) {}

  void addCrashingPart(String part) {
    crashingParts.add(part);
  }

  /** Returns when a crashing part was to be known; empty while too few engines have crashed. */
  Optional<Duration> learningEnd() {
    return crashes.stream()
        .skip(LEARNING_CRASHES - 1)
        .findFirst()
        .map(crash -> crash.plus(LEARNING_TIME));
  }

  /** Returns how many requests with a crashing part were sent once it was to be known. */
  long arrivalsAfterLearning() {
    return learningEnd().stream()
        .flatMap(end -> arrivals.stream().filter(arrival -> arrival.at().compareTo(end) > 0))
        .filter(arrival -> arrival.parts().ids().stream().anyMatch(crashingParts::contains))
        .count();
  }

  /** Returns when engines have ended because of a prompt. */
  List<Duration> crashes() {
    return crashes;
  }

  ImmutableMap<ReplicaId, BackendServer> entries() {
    ImmutableMap.Builder<ReplicaId, BackendServer> entries = ImmutableMap.builder();
    servers
        .values()
        .forEach(server -> server.entry().ifPresent(entry -> entries.put(entry.id(), entry)));
    return entries.buildOrThrow();
  }

  /** Returns what servers received and said of themselves. */
  ServerNoticeRecord record() {
    return record;
  }

  void addServers(ServiceName service, int count) {
    for (int i = 0; i < count; i++) {
      start(service);
    }
  }

  /** From now on servers leave and pause without a word. */
  void suppressNotices() {
    noticesSent = false;
  }

  /** From now on this share of the runs ends with an error, also one that means "not run". */
  void setErrorShare(double share) {
    errorShare = share;
  }

  /** Returns the servers of a service that have not ended. */
  ImmutableList<FleetServer> serversOf(ServiceName service) {
    return servers.values().stream()
        .filter(server -> server.isAlive() && server.server().service().equals(service))
        .collect(ImmutableList.toImmutableList());
  }

  /** Returns the time since a server started. */
  Duration age(FleetServer server) {
    return Duration.ofMillis(timing.clock().millis() - server.server().startedMillis());
  }

  /** Lets a server say that it leaves, and end later; its successor starts at its end. */
  void leave(FleetServer server, FleetServer.Departure departure) {
    server.beginToLeave();
    timing.schedule(
        departure.entryDelay(),
        () -> {
          server.setEntry(departure.entry());
          onEntriesChanged.run();
        });
    timing.schedule(
        departure.lifetime(),
        () -> {
          server.end();
          servers.remove(server.server().id());
          if (departure.keepsId()) {
            start(server.server().id(), server.server().service());
          } else {
            start(server.server().service());
          }
          onEntriesChanged.run();
        });
  }

  /** Ends engines that run requests, for a reason that lies in no prompt. */
  void killBusyEngines(int count) {
    servers.values().stream()
        .filter(server -> server.isAlive() && !server.runs().isEmpty())
        .limit(count)
        .toList()
        .forEach(this::end);
  }

  /** Counts an attempt to send a request and returns its number. */
  int countAttempt(RelayRequest request) {
    return attempts.merge(request.id().value(), 1, Integer::sum);
  }

  void send(EngineRun run) {
    arrivals.add(new Arrival(now(), run.request().request().promptParts()));
    timing.schedule(NETWORK_DELAY, () -> arrive(run));
  }

  /** Handles an order to reserve memory, or to renew a reservation. */
  void reserve(
      EngineConnections connections,
      BackendServer known,
      String reservation,
      Consumer<BackendClient.ReserveResult> callback) {
    timing.schedule(NETWORK_DELAY, () -> arrive(connections, known, reservation, callback));
  }

  private void arrive(
      EngineConnections connections,
      BackendServer known,
      String reservation,
      Consumer<BackendClient.ReserveResult> callback) {
    FleetServer server = servers.get(known.id());
    if (server == null || !server.isAlive()) {
      connections.deliver(() -> callback.accept(BackendClient.ReserveResult.REFUSED));
      return;
    }
    boolean renewed = server.holds(reservation);
    // The name of a reservation is the request's identifier and the number of the attempt.
    RequestId request = new RequestId(reservation.substring(0, reservation.indexOf('.')));
    record.arrived(request, link(connections, server), now(), renewed);
    boolean refused = !renewed && server.isPausedFor(connections.node(), now());
    ServerNotice notice = refused ? refusalNotice(server, connections.node()) : runNotice(server);
    if (!refused) {
      server.reserve(reservation);
    }
    connections.deliver(
        () -> {
          connections.notice(server, known, notice);
          callback.accept(
              refused ? BackendClient.ReserveResult.REFUSED : BackendClient.ReserveResult.RESERVED);
        });
  }

  /** Records that a node received a notice. */
  void recordNotice(EngineConnections connections, FleetServer server, ServerNotice notice) {
    record.received(link(connections, server), notice, now());
  }

  private static ServerNoticeRecord.Link link(EngineConnections connections, FleetServer server) {
    return new ServerNoticeRecord.Link(connections.node(), server.instance());
  }

  private ServerNotice refusalNotice(FleetServer server, int node) {
    return noticesSent ? server.refusalNotice(node, now()) : ServerNotice.NONE;
  }

  private ServerNotice runNotice(FleetServer server) {
    return noticesSent ? server.runNotice() : ServerNotice.NONE;
  }

  private void arrive(EngineRun run) {
    FleetServer server = servers.get(run.request().server().id());
    if (server == null || !server.isAlive()) {
      run.fail(false);
      return;
    }
    EngineConnections connections = run.connections();
    RequestId request = run.request().request().id();
    record.arrived(request, link(connections, server), now(), false);
    if (server.isPausedFor(connections.node(), now())) {
      run.refuse(server, refusalNotice(server, connections.node()), Optional.empty());
      return;
    }
    Optional<String> missingHelper = missingHelper(run);
    if (missingHelper.isPresent()) {
      run.refuse(server, runNotice(server), missingHelper);
      return;
    }
    record.run(request);
    server.runs().add(run);
    Duration wait = MIN_FIRST_TOKEN_DELAY.plusMillis(random.nextInt(FIRST_TOKEN_SPREAD_MILLIS));
    timing.schedule(wait, () -> begin(server, run));
  }

  /** Returns the address of a helper that is leaving or does not hold the reserved memory. */
  private Optional<String> missingHelper(EngineRun run) {
    return run.request().helpers().stream()
        .filter(
            helper ->
                serverAt(helper.address())
                    .filter(server -> !server.isLeaving())
                    .filter(server -> server.holds(helper.reservation().orElse("")))
                    .isEmpty())
        .findFirst()
        .map(helper -> helper.address().toString());
  }

  private Duration now() {
    return Duration.ofNanos(timing.nanoTime());
  }

  private Optional<FleetServer> serverAt(PeerAddress address) {
    return servers.values().stream()
        .filter(server -> server.isAlive() && server.server().address().equals(address))
        .findFirst();
  }

  private void start(ServiceName service) {
    start(new ReplicaId((service.equals(RelayFixture.POOL) ? "e" : "d") + started), service);
  }

  private void start(ReplicaId id, ServiceName service) {
    servers.put(
        id,
        new FleetServer(
            new BackendServer(
                id,
                service,
                new PeerAddress("10.0.0.1", FIRST_PORT + started++),
                new Zone("a"),
                SLOTS,
                true,
                timing.clock().millis())));
    record.colds().onStart(servers.get(id), now());
  }

  private void begin(FleetServer server, EngineRun run) {
    if (run.hasEnded()) {
      return;
    }
    if (errorShare > 0 && random.nextDouble() < errorShare) {
      server.runs().remove(run);
      int status = ERRORS.get(random.nextInt(ERRORS.size()));
      run.failWithError(
          server,
          status,
          status == UNAVAILABLE
              ? refusalNotice(server, run.connections().node())
              : runNotice(server));
      return;
    }
    run.head(server, runNotice(server));
    if (!run.isStream()) {
      timing.schedule(WHOLE_RESPONSE_TIME, () -> complete(server, run, "a whole response"));
      return;
    }
    run.event();
    if (run.request().request().promptParts().shared().stream().anyMatch(crashingParts::contains)) {
      timing.schedule(
          CRASH_DELAY,
          () -> {
            if (server.isAlive() && !run.hasEnded()) {
              crashes.add(now());
              end(server);
            }
          });
      return;
    }
    scheduleEvents(server, run, MIN_EVENTS + random.nextInt(EVENTS_SPREAD));
  }

  private void scheduleEvents(FleetServer server, EngineRun run, int remaining) {
    timing.schedule(
        EVENT_PERIOD,
        () -> {
          if (run.hasEnded()) {
            return;
          }
          if (remaining > 0) {
            run.event();
            scheduleEvents(server, run, remaining - 1);
          } else {
            complete(server, run, "");
          }
        });
  }

  private static void complete(FleetServer server, EngineRun run, String lastChunk) {
    if (!run.hasEnded()) {
      server.runs().remove(run);
      if (!lastChunk.isEmpty()) {
        run.body(lastChunk);
      }
      run.complete();
    }
  }

  private void end(FleetServer server) {
    server.end();
    timing.schedule(
        ENTRY_EXPIRY,
        () -> {
          servers.remove(server.server().id());
          onEntriesChanged.run();
        });
    timing.schedule(
        RESTART_DELAY,
        () -> {
          start(server.server().service());
          onEntriesChanged.run();
        });
  }

  /** Returns the parts of a prompt: two that others share, and one of its own. */
  static PromptParts prompt(String first, String second, String own) {
    return new PromptParts(ImmutableList.of(first, second, own));
  }
}
