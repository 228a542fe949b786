package dev.apricotmill.node.relay;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.coordination.time.Timing;
import dev.apricotmill.core.prompt.PromptParts;
import dev.apricotmill.core.relay.BackendServer;
import dev.apricotmill.core.request.ReplicaId;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The engines of one pool, in virtual time. An engine that begins to write a response to a prompt
 * with a crashing part ends, with all that it runs, and is back under a new identifier later.
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
  private static final Duration MIN_FIRST_TOKEN_DELAY = Duration.ofMillis(50);
  private static final int FIRST_TOKEN_SPREAD_MILLIS = 100;
  private static final Duration CRASH_DELAY = Duration.ofMillis(40);
  private static final Duration EVENT_PERIOD = Duration.ofMillis(100);
  private static final int MIN_EVENTS = 5;
  private static final int EVENTS_SPREAD = 15;
  private static final Duration ENTRY_EXPIRY = Duration.ofSeconds(2);
  private static final Duration RESTART_DELAY = Duration.ofSeconds(3);
  private static final int SLOTS = 8;

  private final Timing timing;
  private final Random random;
  private final Runnable onEntriesChanged;
  private final Map<ReplicaId, Engine> engines = new LinkedHashMap<>();
  private final Set<String> crashingParts = new HashSet<>();
  private final List<Arrival> arrivals = new ArrayList<>();
  private final Map<String, Integer> attempts = new HashMap<>();
  private final List<Duration> crashes = new ArrayList<>();
  private int started;

  EngineFleet(Timing timing, Random random, int count, Runnable onEntriesChanged) {
    this.timing = timing;
    this.random = random;
    this.onEntriesChanged = onEntriesChanged;
    for (int i = 0; i < count; i++) {
      startEngine();
    }
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
    engines.values().forEach(engine -> entries.put(engine.server.id(), engine.server));
    return entries.buildOrThrow();
  }

  /** Ends engines that run requests, for a reason that lies in no prompt. */
  void killBusyEngines(int count) {
    engines.values().stream()
        .filter(engine -> engine.alive && !engine.runs.isEmpty())
        .limit(count)
        .toList()
        .forEach(this::end);
  }

  /** The connections of one node to the engines. */
  final class Connections implements BackendClient {

    private final List<Run> runs = new ArrayList<>();

    @Override
    public Exchange send(BackendRequest request, ResponseListener listener) {
      int attempt = attempts.merge(request.request().id().value(), 1, Integer::sum);
      Run run = new Run(request, attempt, listener);
      runs.removeIf(open -> open.ended);
      runs.add(run);
      arrivals.add(new Arrival(now(), request.request().promptParts()));
      timing.schedule(NETWORK_DELAY, () -> arrive(run));
      return run;
    }

    @Override
    public void reserve(
        BackendServer server,
        String reservation,
        long tokens,
        Duration duration,
        Consumer<ReserveResult> callback) {
      callback.accept(ReserveResult.REFUSED);
    }

    @Override
    public void release(BackendServer server, String reservation) {}

    /** Closes all connections, as the end of the node's process does. */
    void close() {
      runs.forEach(Run::cancel);
    }
  }

  private Duration now() {
    return Duration.ofNanos(timing.nanoTime());
  }

  private void startEngine() {
    ReplicaId id = new ReplicaId("e" + started++);
    engines.put(
        id,
        new Engine(
            new BackendServer(
                id,
                RelayFixture.POOL,
                new PeerAddress("10.0.0.1", 80),
                new Zone("a"),
                SLOTS,
                true,
                timing.clock().millis())));
  }

  private void arrive(Run run) {
    Engine engine = engines.get(run.request.server().id());
    if (engine == null || !engine.alive) {
      run.fail(false);
      return;
    }
    engine.runs.add(run);
    Duration wait = MIN_FIRST_TOKEN_DELAY.plusMillis(random.nextInt(FIRST_TOKEN_SPREAD_MILLIS));
    timing.schedule(wait, () -> begin(engine, run));
  }

  private void begin(Engine engine, Run run) {
    if (run.ended) {
      return;
    }
    run.head();
    run.event();
    if (run.request.request().promptParts().shared().stream().anyMatch(crashingParts::contains)) {
      timing.schedule(
          CRASH_DELAY,
          () -> {
            if (engine.alive && !run.ended) {
              crashes.add(now());
              end(engine);
            }
          });
      return;
    }
    scheduleEvents(engine, run, MIN_EVENTS + random.nextInt(EVENTS_SPREAD));
  }

  private void scheduleEvents(Engine engine, Run run, int remaining) {
    timing.schedule(
        EVENT_PERIOD,
        () -> {
          if (run.ended) {
            return;
          }
          if (remaining > 0) {
            run.event();
            scheduleEvents(engine, run, remaining - 1);
          } else {
            engine.runs.remove(run);
            run.complete();
          }
        });
  }

  private void end(Engine engine) {
    engine.alive = false;
    engine.runs.forEach(run -> run.fail(true));
    engine.runs.clear();
    timing.schedule(
        ENTRY_EXPIRY,
        () -> {
          engines.remove(engine.server.id());
          onEntriesChanged.run();
        });
    timing.schedule(
        RESTART_DELAY,
        () -> {
          startEngine();
          onEntriesChanged.run();
        });
  }

  private static final class Engine {
    private final BackendServer server;
    private final List<Run> runs = new ArrayList<>();
    private boolean alive = true;

    Engine(BackendServer server) {
      this.server = server;
    }
  }

  /** One request at one engine. */
  private static final class Run implements BackendClient.Exchange {
    private final BackendClient.BackendRequest request;
    private final int attempt;
    private final BackendClient.ResponseListener listener;
    private long lastEvent;
    private boolean ended;

    Run(
        BackendClient.BackendRequest request,
        int attempt,
        BackendClient.ResponseListener listener) {
      this.request = request;
      this.attempt = attempt;
      this.listener = listener;
      OptionalLong resumeAfter = request.resumeAfterEvent();
      lastEvent = resumeAfter.orElse(0);
    }

    private void head() {
      listener.onHead(
          new BackendClient.Head(
              200, ImmutableMap.of(ATTEMPT, Integer.toString(attempt)), false, Optional.empty()));
    }

    private void event() {
      String event = "id: " + ++lastEvent + "\ndata: word\n\n";
      listener.onBody(event.getBytes(StandardCharsets.UTF_8));
    }

    private void complete() {
      ended = true;
      listener.onEnd();
    }

    private void fail(boolean maybeSent) {
      if (!ended) {
        ended = true;
        listener.onFailure(maybeSent, BackendFailure.CONNECTION_LOST);
      }
    }

    @Override
    public void cancel() {
      ended = true;
    }

    @Override
    public void pauseReading() {}

    @Override
    public void resumeReading() {}
  }

  /** Returns the parts of a prompt: two that others share, and one of its own. */
  static PromptParts prompt(String first, String second, String own) {
    return new PromptParts(ImmutableList.of(first, second, own));
  }
}
