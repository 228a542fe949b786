package dev.apricotmill.coordination.configuration;

import java.time.Duration;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;

final class ConfigurationPropertyTest {

  @Property(tries = 1000, seed = "20261121")
  void proposalResultsMatchTheHistoryAndGenerationsHaveNoGaps(
      @ForAll("steps") List<ConfigurationStep> steps,
      @ForAll @IntRange(min = 3, max = 900) int pauseMillis) {
    ConfigurationSimulation simulation = new ConfigurationSimulation();
    for (ConfigurationStep step : steps) {
      step.apply(simulation);
      simulation.advance(Duration.ofMillis(pauseMillis));
    }
    simulation.checkHistory();
  }

  @Provide
  Arbitrary<List<ConfigurationStep>> steps() {
    return Arbitraries.of(ConfigurationStep.class).list().ofMinSize(4).ofMaxSize(20);
  }
}
