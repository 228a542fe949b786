package dev.apricotmill.benchmarks.measure;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.ImmutableSet;
import dev.apricotmill.benchmarks.workload.Workload;
import dev.apricotmill.core.configuration.Objective;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class RunTest {

  private static final Run.Subject PRODUCT =
      new Run.Product(Objective.SHORT_REQUEST_SLOWDOWN, ImmutableSet.of());

  @Test
  void everyRequestEndsAndAllMemoryComesBackWhateverFails() {
    for (Fault fault : Fault.values()) {
      Run.Result result = run(fault, 1.2);
      assertWithMessage("open under %s", fault)
          .that(new Summary(result).endedPart(Ending.OPEN))
          .isEqualTo(0.0);
      assertWithMessage("reserved under %s", fault).that(result.reservedTokens()).isEqualTo(0);
      assertWithMessage("on engines under %s", fault).that(result.engineTokens()).isEqualTo(0);
    }
  }

  @Test
  void theSameSeedGivesTheSameFigures() {
    assertThat(figures()).isEqualTo(figures());
  }

  @Test
  void answersArriveInMostCases() {
    Summary summary = new Summary(run(Fault.NONE, 0.5));
    assertThat(summary.endedPart(Ending.ANSWERED)).isGreaterThan(0.99);
  }

  private static Figures figures() {
    Run.Result result = run(Fault.ENGINE_DEATH, 0.9);
    return Figures.of(result, result, Workload.BUSY_CUSTOMER);
  }

  private static Run.Result run(Fault fault, double load) {
    Workload workload = new Workload(5, load, 8, TimeUnit.SECONDS.toNanos(60), 1);
    return new Run(PRODUCT, workload, fault, Run.Mix.ALL).execute();
  }
}
