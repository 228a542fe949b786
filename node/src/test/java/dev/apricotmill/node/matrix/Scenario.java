package dev.apricotmill.node.matrix;

import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.node.testing.Deployment;
import dev.apricotmill.node.testing.RecordedCall;
import dev.apricotmill.node.testing.RecordedGeneration;
import dev.apricotmill.node.testing.SimulatedDaemon;
import dev.apricotmill.node.testing.TestClient;
import dev.apricotmill.testhelpers.engine.EngineLogEntry;
import dev.apricotmill.testhelpers.engine.FakeEngine;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;

/** One cell's deployment and requests, and what the checker must know about the faults. */
final class Scenario {

  /** The time limit of generation requests. */
  static final Duration GENERATION_TIME_LIMIT = Duration.ofSeconds(20);

  /** The time limit of calls of the plain service. */
  static final Duration CALL_TIME_LIMIT = Duration.ofSeconds(8);

  static final String TRACKED_ORDER_KEY = "marked-order";

  private static final int TRACKED_OUTPUT_TOKENS = 60;
  private static final Duration TICK = Duration.ofMillis(1);
  private static final Duration SAMPLE_PERIOD = Duration.ofMillis(100);
  private static final Duration REACH_TIMEOUT = Duration.ofSeconds(10);
  private static final String TRACKED_PROMPT = "the state of the post ".repeat(500);

  private final Deployment deployment;
  private final TestClient client;
  private final Set<SimulatedDaemon> killed = new HashSet<>();
  private final Map<SimulatedDaemon, Long> resumedNanos = new HashMap<>();
  private final Map<SimulatedDaemon, Long> lastGenerations = new HashMap<>();
  private final List<Violation> violationsDuringRun = new ArrayList<>();
  private final long startNanos;
  private Optional<RecordedGeneration> trackedGeneration = Optional.empty();
  private Optional<Leaving> leaving = Optional.empty();
  private int backgroundRound;
  private long isolatedFromNanos = Long.MAX_VALUE;
  private long isolatedUntilNanos = Long.MAX_VALUE;

  /** A backend server that the platform's list shows as leaving. */
  record Leaving(ReplicaId replica, long sinceNanos) {}

  Scenario(long seed) {
    this.deployment = Deployment.started(seed);
    this.client = new TestClient(deployment);
    this.startNanos = deployment.time().nanoTime();
  }

  Deployment deployment() {
    return deployment;
  }

  TestClient client() {
    return client;
  }

  long startNanos() {
    return startNanos;
  }

  /** Returns the daemon that receives the tracked requests. */
  SimulatedDaemon entryDaemon() {
    return deployment.daemon(0);
  }

  /** Returns the daemon that dispatched the tracked generation, else the second daemon. */
  SimulatedDaemon stewardDaemon() {
    return trackedStart()
        .flatMap(start -> start.sequence())
        .map(sequence -> sequence.owner().daemon().name())
        .flatMap(this::daemonNamed)
        .filter(daemon -> !daemon.equals(entryDaemon()))
        .orElseGet(() -> deployment.daemon(1));
  }

  /** Returns the engine that runs the tracked generation, else the first engine. */
  FakeEngine trackedEngine() {
    return deployment.engines().values().stream()
        .filter(engine -> trackedStartAt(engine).isPresent())
        .findFirst()
        .orElseGet(() -> deployment.engines().values().asList().get(0));
  }

  ReplicaId replicaOf(FakeEngine engine) {
    return deployment.engines().entrySet().stream()
        .filter(entry -> entry.getValue().equals(engine))
        .findFirst()
        .orElseThrow()
        .getKey();
  }

  Zone firstZone() {
    return Deployment.ZONES.get(0);
  }

  RecordedGeneration sendTrackedGeneration() {
    RecordedGeneration generation =
        client.generate(
            entryDaemon(), TRACKED_PROMPT, TRACKED_OUTPUT_TOKENS, GENERATION_TIME_LIMIT);
    trackedGeneration = Optional.of(generation);
    return generation;
  }

  RecordedCall sendTrackedOrder(SimulatedDaemon daemon) {
    return client.placeOrder(daemon, TRACKED_ORDER_KEY, CALL_TIME_LIMIT);
  }

  /** Sends one generation request, one read and one order to every live daemon. */
  void sendBackground() {
    backgroundRound++;
    for (SimulatedDaemon daemon : deployment.daemons()) {
      if (daemon.isAlive()) {
        String name = daemon.name() + "-" + backgroundRound;
        client.generate(daemon, "question " + name, 20, GENERATION_TIME_LIMIT);
        client.readStatus(daemon, CALL_TIME_LIMIT);
        client.placeOrder(daemon, "order-" + name, CALL_TIME_LIMIT);
      }
    }
  }

  /** Repeats the tracked order at every live daemon, as retries through a load balancer would. */
  void repeatTrackedOrder() {
    for (SimulatedDaemon daemon : deployment.daemons()) {
      if (daemon.isAlive()) {
        sendTrackedOrder(daemon);
      }
    }
  }

  void advance(Duration duration) {
    long end = deployment.time().nanoTime() + duration.toNanos();
    while (deployment.time().nanoTime() < end) {
      long left = end - deployment.time().nanoTime();
      deployment.advance(Duration.ofNanos(Math.min(left, SAMPLE_PERIOD.toNanos())));
      sampleGenerations();
    }
  }

  /** Advances time until the condition holds; fails the cell after {@link #REACH_TIMEOUT}. */
  void advanceUntil(BooleanSupplier condition) {
    long limit = deployment.time().nanoTime() + REACH_TIMEOUT.toNanos();
    while (!condition.getAsBoolean()) {
      if (deployment.time().nanoTime() >= limit) {
        throw new IllegalStateException("step not reached within " + REACH_TIMEOUT);
      }
      deployment.advance(TICK);
    }
  }

  void kill(SimulatedDaemon daemon) {
    if (daemon.isAlive()) {
      killed.add(daemon);
      daemon.kill();
    }
  }

  void resume(SimulatedDaemon daemon) {
    resumedNanos.put(daemon, deployment.time().nanoTime());
    daemon.resume();
  }

  void restart(SimulatedDaemon daemon) {
    for (int index = 0; index < deployment.daemons().size(); index++) {
      if (Deployment.daemonName(index).equals(daemon.name())) {
        deployment.startDaemon(index);
        return;
      }
    }
  }

  boolean wasKilled(SimulatedDaemon daemon) {
    return killed.contains(daemon);
  }

  /** Returns when a daemon was resumed after a pause, which excuses late outcomes; 0 if never. */
  long resumedNanos(SimulatedDaemon daemon) {
    return resumedNanos.getOrDefault(daemon, 0L);
  }

  /** Records that no zone reaches the first zone until {@link #recordZoneRejoined}. */
  void recordZoneIsolated() {
    isolatedFromNanos = deployment.time().nanoTime();
    isolatedUntilNanos = Long.MAX_VALUE;
  }

  void recordZoneRejoined() {
    isolatedUntilNanos = deployment.time().nanoTime();
  }

  /** Returns whether information that a zone had at that time could reach the first zone. */
  boolean reachesFirstZone(Zone from, long atNanos) {
    boolean isolated = atNanos >= isolatedFromNanos && atNanos < isolatedUntilNanos;
    return !isolated || from.equals(firstZone());
  }

  void markLeaving(ReplicaId replica) {
    leaving = Optional.of(new Leaving(replica, deployment.time().nanoTime()));
  }

  Optional<Leaving> leaving() {
    return leaving;
  }

  Optional<RecordedGeneration> trackedGeneration() {
    return trackedGeneration;
  }

  List<Violation> violationsDuringRun() {
    return violationsDuringRun;
  }

  boolean trackedGenerationStarted() {
    return trackedStart().isPresent();
  }

  boolean trackedOrderExecuted() {
    return deployment.service().core().ordersWithKey(TRACKED_ORDER_KEY) > 0;
  }

  private Optional<EngineLogEntry> trackedStart() {
    return deployment.engines().values().stream()
        .flatMap(engine -> trackedStartAt(engine).stream())
        .findFirst();
  }

  private Optional<EngineLogEntry> trackedStartAt(FakeEngine engine) {
    return trackedGeneration.flatMap(
        generation ->
            engine.core().log().stream()
                .filter(entry -> entry.kind() == EngineLogEntry.Kind.STARTED)
                .filter(
                    entry ->
                        entry
                            .sequence()
                            .filter(
                                sequence -> sequence.request().equals(generation.submission().id()))
                            .isPresent())
                .findFirst());
  }

  private Optional<SimulatedDaemon> daemonNamed(String name) {
    return deployment.daemons().stream().filter(daemon -> daemon.name().equals(name)).findFirst();
  }

  /** No incarnation of a daemon may ever return to a lower configuration generation. */
  private void sampleGenerations() {
    for (SimulatedDaemon daemon : deployment.daemons()) {
      long current = daemon.node().status().configurationGeneration();
      long previous = lastGenerations.getOrDefault(daemon, 0L);
      if (current < previous) {
        violationsDuringRun.add(
            new Violation(
                Guarantee.CONFIGURATION_IN_FORCE,
                daemon.name() + " went back from generation " + previous + " to " + current));
      }
      lastGenerations.put(daemon, current);
    }
  }
}
