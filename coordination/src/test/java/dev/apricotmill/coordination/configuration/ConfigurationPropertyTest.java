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
  void operatorsAreToldTheTruthAndGenerationsHaveNoGaps(
      @ForAll("steps") List<ConfigurationStep> steps,
      @ForAll @IntRange(min = 3, max = 900) int pauseMillis) {
    ConfigurationRun run = new ConfigurationRun();
    for (ConfigurationStep step : steps) {
      step.apply(run);
      run.advance(Duration.ofMillis(pauseMillis));
    }
    run.finish();
  }

  @Provide
  Arbitrary<List<ConfigurationStep>> steps() {
    return Arbitraries.of(ConfigurationStep.class).list().ofMinSize(4).ofMaxSize(20);
  }
}
