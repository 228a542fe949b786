package dev.apricotmill.testhelpers.demo;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParametersDelegate;

/** The arguments of the demonstration. */
final class DemoArguments {

  @ParametersDelegate private DeploymentArguments deployment = new DeploymentArguments();

  @Parameter(names = "--victim-pid", required = true, description = "Process of the first daemon")
  private long victimPid;

  DeploymentArguments deployment() {
    return deployment;
  }

  ProcessHandle victim() {
    return ProcessHandle.of(victimPid)
        .orElseThrow(() -> new IllegalArgumentException("no process " + victimPid));
  }
}
