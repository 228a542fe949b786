package dev.apricotmill.testhelpers.demo;

import com.beust.jcommander.Parameter;
import java.util.ArrayList;
import java.util.List;

/** Where the deployment listens. */
final class DeploymentArguments {

  @Parameter(names = "--public", required = true, description = "Callers' ports of the daemons")
  private List<String> publicAddresses = new ArrayList<>();

  @Parameter(names = "--operators", required = true, description = "Operators' ports")
  private List<String> operatorsAddresses = new ArrayList<>();

  @Parameter(names = "--engines", required = true, description = "Engine stand-ins")
  private List<String> engineAddresses = new ArrayList<>();

  @Parameter(names = "--services", required = true, description = "Plain service stand-ins")
  private List<String> serviceAddresses = new ArrayList<>();

  List<String> publicAddresses() {
    return List.copyOf(publicAddresses);
  }

  List<String> operatorsAddresses() {
    return List.copyOf(operatorsAddresses);
  }

  StandInLogs logs() {
    return new StandInLogs(engineAddresses, serviceAddresses);
  }
}
