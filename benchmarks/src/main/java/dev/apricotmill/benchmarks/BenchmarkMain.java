package dev.apricotmill.benchmarks;

import dev.apricotmill.benchmarks.measure.Measurement;
import java.io.IOException;
import java.nio.file.Path;

/** Measures the policy and writes its tables and plots. */
public final class BenchmarkMain {

  private BenchmarkMain() {}

  /**
   * Runs the whole measurement.
   *
   * @param arguments the directory for the plots, then the number of seeds
   */
  public static void main(String[] arguments) throws IOException {
    Path plots = Path.of(arguments.length > 0 ? arguments[0] : "target/measure");
    int seeds = arguments.length > 1 ? Integer.parseInt(arguments[1]) : Measurement.SEEDS;
    new Measurement(System.out, plots, seeds).run();
  }
}
