package dev.apricotmill.cli.configuration;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.core.configuration.ConfigurationFault;
import dev.apricotmill.core.configuration.TextPosition;
import java.io.PrintWriter;
import java.util.List;
import java.util.Optional;

/**
 * One fault of a configuration as a report shows it.
 *
 * @param severity whether it refuses the configuration
 * @param kind what is wrong
 * @param pointer the place as a JSON pointer
 * @param line the line in the file
 * @param column the column in the file
 * @param subject the value that is wrong
 * @param message the whole fault for a person
 */
public record FaultLine(
    ConfigurationFault.Severity severity,
    ConfigurationFault.Kind kind,
    String pointer,
    Optional<Integer> line,
    Optional<Integer> column,
    String subject,
    String message) {

  static ImmutableList<FaultLine> of(List<ConfigurationFault> faults) {
    return faults.stream().map(FaultLine::of).collect(ImmutableList.toImmutableList());
  }

  private static FaultLine of(ConfigurationFault fault) {
    return new FaultLine(
        fault.kind().severity(),
        fault.kind(),
        fault.pointer(),
        fault.position().map(TextPosition::line),
        fault.position().map(TextPosition::column),
        fault.subject(),
        fault.describe());
  }

  void print(PrintWriter out) {
    String label = severity == ConfigurationFault.Severity.ERROR ? "error" : "warning";
    out.println(label + ": " + message);
  }
}
