package dev.apricotmill.coordination.ledger;

import java.time.Duration;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

final class ClaimsLedgerPropertyTest {

  @Property(tries = 1000, seed = "20261120")
  void noKeyIsGivenToTwoWhateverGoesWrong(@ForAll("steps") List<LedgerStep> steps) {
    LedgerRun run = new LedgerRun();
    run.claim(0);
    run.claim(1);
    run.advance(Duration.ofSeconds(1));
    run.nextKey();
    for (LedgerStep step : steps) {
      step.apply(run);
      run.advance(pauseAfter(step));
    }
    run.finish();
  }

  /** Claims overlap with what follows; faults and freezes last. */
  private static Duration pauseAfter(LedgerStep step) {
    return switch (step) {
      case CLAIM_AT_FIRST, CLAIM_AT_SECOND, CLAIM_EVERYWHERE -> Duration.ofMillis(17);
      case FREEZE_FIRST, OUTAGE -> Duration.ofMillis(900);
      default -> Duration.ofMillis(2);
    };
  }

  @Provide
  Arbitrary<List<LedgerStep>> steps() {
    return Arbitraries.of(LedgerStep.class).list().ofMinSize(6).ofMaxSize(30);
  }
}
