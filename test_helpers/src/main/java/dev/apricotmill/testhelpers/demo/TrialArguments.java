package dev.apricotmill.testhelpers.demo;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParametersDelegate;
import java.time.Duration;

/** The arguments of the trial. */
final class TrialArguments {

  @ParametersDelegate private DeploymentArguments deployment = new DeploymentArguments();

  @Parameter(names = "--seed", description = "Seed of the callers' choices")
  private long seed = 1;

  @Parameter(names = "--seconds", description = "How long callers send requests")
  private long seconds = 30;

  @Parameter(names = "--callers", description = "Callers that send one request after another")
  private int callers = 24;

  DeploymentArguments deployment() {
    return deployment;
  }

  long seed() {
    return seed;
  }

  Duration duration() {
    return Duration.ofSeconds(seconds);
  }

  int callers() {
    return callers;
  }
}
