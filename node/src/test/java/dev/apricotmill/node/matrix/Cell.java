package dev.apricotmill.node.matrix;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Optional;

/**
 * One cell of the matrix: faults that strike together at a step.
 *
 * @param step the step
 * @param strikes one or two faults
 * @param seed the seed of all random choices
 */
record Cell(Step step, ImmutableList<Strike> strikes, long seed) {

  private static final Duration FAULT_TIME = Duration.ofSeconds(6);
  private static final Duration IN_FORCE_TIME = Duration.ofSeconds(14);
  private static final Duration QUIET_TIME = Duration.ofSeconds(30);

  /** Returns the name under which the cell is reported. */
  String name() {
    return step + "/" + String.join("+", strikes.stream().map(Strike::name).toList()) + "#" + seed;
  }

  Optional<Impossible> impossible() {
    return strikes.stream().flatMap(strike -> strike.impossibleAt(step).stream()).findFirst();
  }

  /** Only without a fault beside it can a planned stop be blamed for a stream that was cut. */
  private boolean isUndisturbedStop() {
    return step.isPlannedStop() && strikes.equals(ImmutableList.of(Strike.NOTHING));
  }

  /** Runs the cell and returns the promises that were broken. */
  ImmutableList<Violation> run() {
    Scenario scenario = new Scenario(seed);
    scenario.sendBackground();
    scenario.advance(Duration.ofMillis(100));
    step.reach(scenario);
    ImmutableList<Runnable> heals =
        strikes.stream()
            .map(strike -> strike.strike(scenario))
            .collect(ImmutableList.toImmutableList());
    scenario.advance(Duration.ofSeconds(2));
    scenario.repeatMarkedOrder();
    scenario.sendBackground();
    scenario.advance(FAULT_TIME);
    heals.forEach(Runnable::run);
    scenario.sendBackground();
    scenario.repeatMarkedOrder();
    scenario.advance(IN_FORCE_TIME);
    ImmutableList.Builder<Violation> violations = ImmutableList.builder();
    scenario.advance(QUIET_TIME);
    PromiseChecker checker = new PromiseChecker(scenario);
    if (isUndisturbedStop()) {
      checker.checkNothingWasCut();
    }
    return violations.addAll(checker.check()).build();
  }
}
