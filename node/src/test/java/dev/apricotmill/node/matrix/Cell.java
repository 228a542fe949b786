package dev.apricotmill.node.matrix;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Optional;

/**
 * One cell of the matrix: one or two faults that are injected at a step.
 *
 * @param step the step at which the faults are injected
 * @param faults the faults, injected together
 * @param seed the seed of all random choices of the deployment
 */
record Cell(Step step, ImmutableList<InjectedFault> faults, long seed) {

  private static final Duration FAULT_DURATION = Duration.ofSeconds(6);
  private static final Duration CONFIGURATION_PROPAGATION_DURATION = Duration.ofSeconds(14);
  private static final Duration QUIET_DURATION = Duration.ofSeconds(30);

  /** Returns the name under which the cell is reported. */
  String name() {
    return step
        + "/"
        + String.join("+", faults.stream().map(InjectedFault::name).toList())
        + "#"
        + seed;
  }

  Optional<ImpossibleReason> impossibleReason() {
    return faults.stream().flatMap(fault -> fault.impossibleAt(step).stream()).findFirst();
  }

  /** Without any other fault, an interrupted stream must have been caused by the planned stop. */
  private boolean isStopWithoutOtherFault() {
    return step.isPlannedStop() && faults.equals(ImmutableList.of(InjectedFault.NOTHING));
  }

  /** Runs the cell and returns the guarantees that were violated. */
  ImmutableList<Violation> run() {
    Scenario scenario = new Scenario(seed);
    scenario.sendBackground();
    scenario.advance(Duration.ofMillis(100));
    step.reach(scenario);
    ImmutableList<Runnable> healActions =
        faults.stream()
            .map(fault -> fault.inject(scenario))
            .collect(ImmutableList.toImmutableList());
    scenario.advance(Duration.ofSeconds(2));
    scenario.repeatTrackedOrder();
    scenario.sendBackground();
    scenario.advance(FAULT_DURATION);
    healActions.forEach(Runnable::run);
    scenario.sendBackground();
    scenario.repeatTrackedOrder();
    scenario.advance(CONFIGURATION_PROPAGATION_DURATION);
    ImmutableList.Builder<Violation> violations = ImmutableList.builder();
    scenario.advance(QUIET_DURATION);
    GuaranteeChecker checker = new GuaranteeChecker(scenario);
    if (isStopWithoutOtherFault()) {
      checker.checkTrackedGenerationWasNotInterrupted();
    }
    return violations.addAll(checker.check()).build();
  }
}
