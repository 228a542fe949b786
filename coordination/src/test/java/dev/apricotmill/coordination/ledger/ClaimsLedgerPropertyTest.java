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
  void noKeyIsClaimedTwiceUnderAnyFault(@ForAll("steps") List<LedgerStep> steps) {
    LedgerSimulation simulation = new LedgerSimulation();
    simulation.claim(0);
    simulation.claim(1);
    simulation.advance(Duration.ofSeconds(1));
    simulation.nextKey();
    for (LedgerStep step : steps) {
      step.apply(simulation);
      simulation.advance(delayAfter(step));
    }
    simulation.finish();
  }

  /** Claims overlap with the steps after them; outages and pauses last longer than other steps. */
  private static Duration delayAfter(LedgerStep step) {
    return switch (step) {
      case CLAIM_AT_FIRST, CLAIM_AT_SECOND, CLAIM_EVERYWHERE -> Duration.ofMillis(17);
      case PAUSE_FIRST, OUTAGE -> Duration.ofMillis(900);
      default -> Duration.ofMillis(2);
    };
  }

  @Provide
  Arbitrary<List<LedgerStep>> steps() {
    return Arbitraries.of(LedgerStep.class).list().ofMinSize(6).ofMaxSize(30);
  }
}
