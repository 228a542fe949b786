package dev.apricotmill.node.matrix;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.coordination.platform.Machine;
import dev.apricotmill.coordination.platform.MachineListResult;
import dev.apricotmill.coordination.testing.PlatformOperation;
import dev.apricotmill.core.outcome.Outcome;
import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.core.request.RequestId;
import dev.apricotmill.node.testing.RecordedCall;
import dev.apricotmill.node.testing.RecordedGeneration;
import dev.apricotmill.node.testing.SimulatedDaemon;
import dev.apricotmill.testhelpers.engine.EngineLogEntry;
import dev.apricotmill.testhelpers.engine.FakeEngine;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Checks every guarantee against the fakes' logs and the responses that callers received. */
final class GuaranteeChecker {

  /** How far a response may exceed its time limit: one internal timer tick. */
  private static final Duration DEADLINE_TOLERANCE = Duration.ofMillis(100);

  private static final Duration LEAVING_GRACE_PERIOD = Duration.ofSeconds(5);

  /** The rate of writes that the platform accepts from all daemons together. */
  private static final int PLATFORM_WRITES_PER_SECOND = 300;

  /** The rate of reads and watches that the platform accepts from all daemons together. */
  private static final int PLATFORM_READS_PER_SECOND = 2_000;

  private final Scenario scenario;
  private final List<Violation> violations = new ArrayList<>();

  GuaranteeChecker(Scenario scenario) {
    this.scenario = scenario;
  }

  ImmutableList<Violation> check() {
    violations.addAll(scenario.violationsDuringRun());
    scenario.client().recordedGenerations().forEach(this::checkGeneration);
    scenario.client().recordedCalls().forEach(this::checkCall);
    checkKeys();
    checkMemory();
    checkLeaving();
    checkRates();
    checkConfiguration();
    return ImmutableList.copyOf(violations);
  }

  /**
   * The tracked generation must have been started exactly once: an interrupted stream is started
   * again on another engine.
   */
  void checkTrackedGenerationWasNotInterrupted() {
    RecordedGeneration generation = scenario.trackedGeneration().orElseThrow();
    long engineStarts = engineStartsOf(generation.submission().id());
    if (engineStarts != 1 || !generation.isComplete()) {
      addViolation(
          Guarantee.STOPS_CUT_NOTHING,
          generation.submission().id()
              + " was started "
              + engineStarts
              + " times and has "
              + generation.tokens()
              + " tokens");
    }
  }

  private void checkGeneration(RecordedGeneration generation) {
    RequestId id = generation.submission().id();
    checkOutcomes(
        id,
        generation.daemon(),
        generation.ends().size(),
        generation.durationNanos(),
        Scenario.GENERATION_TIME_LIMIT);
    boolean answered = generation.outcome().filter(Outcome.Answered.class::isInstance).isPresent();
    if (answered && !generation.isComplete()) {
      addViolation(
          Guarantee.WHOLE_ANSWERS,
          id + " was answered with " + generation.tokens() + " tokens, incomplete or wrong");
    }
    if (!generation.isPrefix()) {
      addViolation(
          Guarantee.WHOLE_ANSWERS,
          id + " received a chunk of another request or a duplicated token");
    }
    if (generation.outcome().filter(Outcome::isNotRun).isPresent() && engineStartsOf(id) > 0) {
      addViolation(
          Guarantee.NOT_RUN_IS_TRUE, id + " was reported as not run but an engine started it");
    }
  }

  private void checkCall(RecordedCall call) {
    RequestId id = call.submission().id();
    checkOutcomes(
        id, call.daemon(), call.responses().size(), call.durationNanos(), Scenario.CALL_TIME_LIMIT);
    boolean notRun = call.outcome().filter(Outcome::isNotRun).isPresent();
    if (notRun && scenario.deployment().service().core().executionsOf(id.value()) > 0) {
      addViolation(
          Guarantee.NOT_RUN_IS_TRUE, id + " was reported as not run but the service executed it");
    }
  }

  private void checkOutcomes(
      RequestId id,
      SimulatedDaemon daemon,
      int ends,
      Optional<Long> durationNanos,
      Duration limit) {
    if (ends > 1) {
      addViolation(Guarantee.ONE_OUTCOME_IN_TIME, id + " ended " + ends + " times");
    }
    if (scenario.wasKilled(daemon)) {
      return;
    }
    if (ends == 0) {
      addViolation(Guarantee.ONE_OUTCOME_IN_TIME, id + " got no outcome at " + daemon.name());
      return;
    }
    boolean late = durationNanos.orElse(0L) > limit.plus(DEADLINE_TOLERANCE).toNanos();
    if (late && scenario.resumedNanos(daemon) == 0) {
      addViolation(
          Guarantee.ONE_OUTCOME_IN_TIME,
          id + " ended after its time limit of " + limit + " at " + daemon.name());
    }
  }

  private void checkKeys() {
    scenario.client().recordedCalls().stream()
        .flatMap(call -> call.submission().idempotencyKey().stream())
        .distinct()
        .forEach(this::checkKey);
  }

  private void checkKey(String key) {
    long executions = scenario.deployment().service().core().ordersWithKey(key);
    if (executions > 1) {
      addViolation(Guarantee.AT_MOST_ONCE, key + " was executed " + executions + " times");
    }
  }

  private void checkMemory() {
    for (Map.Entry<ReplicaId, FakeEngine> entry : scenario.deployment().engines().entrySet()) {
      long used = entry.getValue().core().usedTokens();
      if (used != 0) {
        addViolation(
            Guarantee.NO_MEMORY_LEFT,
            entry.getKey() + " holds " + used + " tokens after the quiet period");
      }
    }
  }

  private void checkLeaving() {
    scenario
        .leaving()
        .ifPresent(
            leaving -> {
              long limit = firstListedNanos(leaving.sinceNanos()) + LEAVING_GRACE_PERIOD.toNanos();
              scenario.deployment().engines().get(leaving.replica()).core().log().stream()
                  .filter(entry -> entry.kind() == EngineLogEntry.Kind.STARTED)
                  .filter(entry -> entry.atNanos() > limit)
                  .findFirst()
                  .ifPresent(
                      entry ->
                          addViolation(
                              Guarantee.NO_WORK_WHEN_LEAVING,
                              leaving.replica()
                                  + " started a sequence after it was listed as leaving"));
            });
  }

  /** Returns when a daemon that can reach the first zone first read the list with the change. */
  private long firstListedNanos(long leavingSinceNanos) {
    return scenario.deployment().platform().log().calls().stream()
        .filter(call -> call.request().operation() == PlatformOperation.MACHINES)
        .filter(call -> call.startNanos() >= leavingSinceNanos)
        .filter(call -> call.outcome().filter(GuaranteeChecker::showsLeaving).isPresent())
        .filter(call -> scenario.reachesFirstZone(call.request().zone(), call.startNanos()))
        .mapToLong(call -> call.responseNanos())
        .min()
        .orElse(Long.MAX_VALUE / 2);
  }

  private static boolean showsLeaving(Object outcome) {
    return outcome instanceof MachineListResult.Listed listed
        && listed.machines().stream().anyMatch(machine -> machine.state() == Machine.State.LEAVING);
  }

  private void checkRates() {
    var log = scenario.deployment().platform().log();
    if (log.peakWritesPerSecond() > PLATFORM_WRITES_PER_SECOND) {
      addViolation(
          Guarantee.PLATFORM_RATES,
          log.peakWritesPerSecond() + " writes in a second, limit " + PLATFORM_WRITES_PER_SECOND);
    }
    if (log.peakReadsPerSecond() > PLATFORM_READS_PER_SECOND) {
      addViolation(
          Guarantee.PLATFORM_RATES,
          log.peakReadsPerSecond() + " reads in a second, limit " + PLATFORM_READS_PER_SECOND);
    }
  }

  private void checkConfiguration() {
    long accepted = scenario.deployment().acceptedGeneration();
    long stored = scenario.deployment().storedGeneration();
    if (stored < accepted) {
      addViolation(
          Guarantee.CONFIGURATION_IN_FORCE,
          "generation " + accepted + " was accepted but " + stored + " is stored");
    }
    for (SimulatedDaemon daemon : scenario.deployment().daemons()) {
      long current = daemon.node().status().configurationGeneration();
      if (daemon.isAlive() && current != stored) {
        addViolation(
            Guarantee.CONFIGURATION_IN_FORCE,
            daemon.name() + " uses generation " + current + " but " + stored + " is stored");
      }
    }
  }

  private long engineStartsOf(RequestId id) {
    return scenario.deployment().engines().values().stream()
        .flatMap(engine -> engine.core().log().stream())
        .filter(entry -> entry.kind() == EngineLogEntry.Kind.STARTED)
        .filter(
            entry -> entry.sequence().filter(sequence -> sequence.request().equals(id)).isPresent())
        .count();
  }

  private void addViolation(Guarantee guarantee, String detail) {
    violations.add(new Violation(guarantee, detail));
  }
}
