package dev.apricotmill.node.matrix;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.coordination.platform.Machine;
import dev.apricotmill.coordination.platform.MachineListResult;
import dev.apricotmill.coordination.testing.PlatformOperation;
import dev.apricotmill.core.outcome.Outcome;
import dev.apricotmill.core.request.ReplicaId;
import dev.apricotmill.core.request.RequestId;
import dev.apricotmill.node.testing.Asked;
import dev.apricotmill.node.testing.Ordered;
import dev.apricotmill.node.testing.SimulatedDaemon;
import dev.apricotmill.testhelpers.engine.EngineLogEntry;
import dev.apricotmill.testhelpers.engine.FakeEngine;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Checks every promise from the logs of the fakes and from what callers received. */
final class PromiseChecker {

  /** The inner tick by which an answer may come after its time limit. */
  private static final Duration SLACK = Duration.ofMillis(100);

  private static final Duration LEAVING_GRACE = Duration.ofSeconds(5);

  /** The rates of writes that the platform takes from all daemons together. */
  private static final int PLATFORM_WRITES_PER_SECOND = 300;

  /** The rates of reads and watches that the platform takes from all daemons together. */
  private static final int PLATFORM_READS_PER_SECOND = 2_000;

  private final Scenario scenario;
  private final List<Violation> violations = new ArrayList<>();

  PromiseChecker(Scenario scenario) {
    this.scenario = scenario;
  }

  ImmutableList<Violation> check() {
    violations.addAll(scenario.seen());
    scenario.caller().asked().forEach(this::checkQuestion);
    scenario.caller().ordered().forEach(this::checkCall);
    checkKeys();
    checkMemory();
    checkLeaving();
    checkRates();
    checkConfiguration();
    return ImmutableList.copyOf(violations);
  }

  /**
   * The marked question must have run in one piece: a stream that was cut starts anew elsewhere.
   */
  void checkNothingWasCut() {
    Asked question = scenario.markedQuestion().orElseThrow();
    long starts = startsOf(question.submission().id());
    if (starts != 1 || !question.isWhole()) {
      violate(Promise.STOPS_CUT_NOTHING, question.submission().id() + " started " + starts);
    }
  }

  private void checkQuestion(Asked question) {
    RequestId id = question.submission().id();
    checkOutcomes(
        id,
        question.daemon(),
        question.ends().size(),
        question.tookNanos(),
        Scenario.QUESTION_LIMIT);
    boolean answered = question.outcome().filter(Outcome.Answered.class::isInstance).isPresent();
    if (answered && !question.isWhole()) {
      violate(Promise.WHOLE_ANSWERS, id + " was answered with " + question.tokens() + " tokens");
    }
    if (!question.isPrefix()) {
      violate(Promise.WHOLE_ANSWERS, id + " received a foreign or doubled token");
    }
    if (question.outcome().filter(Outcome::isNotRun).isPresent() && startsOf(id) > 0) {
      violate(Promise.NOT_RUN_IS_TRUE, id + " was refused but an engine started it");
    }
  }

  private void checkCall(Ordered call) {
    RequestId id = call.submission().id();
    checkOutcomes(id, call.daemon(), call.answers().size(), call.tookNanos(), Scenario.CALL_LIMIT);
    boolean notRun = call.outcome().filter(Outcome::isNotRun).isPresent();
    if (notRun && scenario.deployment().service().core().executionsOf(id.value()) > 0) {
      violate(Promise.NOT_RUN_IS_TRUE, id + " was refused but the service executed it");
    }
  }

  private void checkOutcomes(
      RequestId id, SimulatedDaemon daemon, int ends, Optional<Long> tookNanos, Duration limit) {
    if (ends > 1) {
      violate(Promise.ONE_OUTCOME_IN_TIME, id + " ended " + ends + " times");
    }
    if (scenario.wasKilled(daemon)) {
      return;
    }
    if (ends == 0) {
      violate(Promise.ONE_OUTCOME_IN_TIME, id + " never ended at " + daemon.name());
      return;
    }
    boolean late = tookNanos.orElse(0L) > limit.plus(SLACK).toNanos();
    if (late && scenario.wokenNanos(daemon) == 0) {
      violate(Promise.ONE_OUTCOME_IN_TIME, id + " ended late at " + daemon.name());
    }
  }

  private void checkKeys() {
    scenario.caller().ordered().stream()
        .flatMap(call -> call.submission().idempotencyKey().stream())
        .distinct()
        .forEach(this::checkKey);
  }

  private void checkKey(String key) {
    long executions = scenario.deployment().service().core().ordersWithKey(key);
    if (executions > 1) {
      violate(Promise.AT_MOST_ONCE, key + " was executed " + executions + " times");
    }
  }

  private void checkMemory() {
    for (Map.Entry<ReplicaId, FakeEngine> entry : scenario.deployment().engines().entrySet()) {
      long used = entry.getValue().core().usedTokens();
      if (used != 0) {
        violate(Promise.NO_MEMORY_LEFT, entry.getKey() + " holds " + used + " tokens when quiet");
      }
    }
  }

  private void checkLeaving() {
    scenario
        .leaving()
        .ifPresent(
            leaving -> {
              long limit = shownNanos(leaving.sinceNanos()) + LEAVING_GRACE.toNanos();
              scenario.deployment().engines().get(leaving.replica()).core().log().stream()
                  .filter(entry -> entry.kind() == EngineLogEntry.Kind.STARTED)
                  .filter(entry -> entry.atNanos() > limit)
                  .findFirst()
                  .ifPresent(
                      entry ->
                          violate(
                              Promise.NO_WORK_WHEN_LEAVING,
                              leaving.replica() + " got work after it left"));
            });
  }

  /** Returns when the list first showed the change to a daemon that the zone can hear. */
  private long shownNanos(long listedNanos) {
    return scenario.deployment().platform().log().calls().stream()
        .filter(call -> call.request().operation() == PlatformOperation.MACHINES)
        .filter(call -> call.startNanos() >= listedNanos)
        .filter(call -> call.outcome().filter(PromiseChecker::showsLeaving).isPresent())
        .filter(call -> scenario.hears(call.request().zone(), call.startNanos()))
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
      violate(Promise.PLATFORM_RATES, log.peakWritesPerSecond() + " writes in a second");
    }
    if (log.peakReadsPerSecond() > PLATFORM_READS_PER_SECOND) {
      violate(Promise.PLATFORM_RATES, log.peakReadsPerSecond() + " reads in a second");
    }
  }

  private void checkConfiguration() {
    long accepted = scenario.deployment().acceptedGeneration();
    long stored = scenario.deployment().storedGeneration();
    if (stored < accepted) {
      violate(Promise.CONFIGURATION_IN_FORCE, "accepted " + accepted + " but stored is " + stored);
    }
    for (SimulatedDaemon daemon : scenario.deployment().daemons()) {
      long inForce = daemon.node().status().configurationGeneration();
      if (daemon.isAlive() && inForce != stored) {
        violate(
            Promise.CONFIGURATION_IN_FORCE,
            daemon.name() + " has " + inForce + " but stored is " + stored);
      }
    }
  }

  private long startsOf(RequestId id) {
    return scenario.deployment().engines().values().stream()
        .flatMap(engine -> engine.core().log().stream())
        .filter(entry -> entry.kind() == EngineLogEntry.Kind.STARTED)
        .filter(
            entry -> entry.sequence().filter(sequence -> sequence.request().equals(id)).isPresent())
        .count();
  }

  private void violate(Promise promise, String detail) {
    violations.add(new Violation(promise, detail));
  }
}
