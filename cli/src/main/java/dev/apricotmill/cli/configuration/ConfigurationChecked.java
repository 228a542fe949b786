package dev.apricotmill.cli.configuration;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.cli.command.ExitCode;
import dev.apricotmill.cli.command.Report;
import dev.apricotmill.core.configuration.Configuration;
import java.io.PrintWriter;

/**
 * Tells that a configuration file may be applied.
 *
 * @param exitCode the code that the process exits with
 * @param file the file
 * @param content what it holds
 * @param warnings what the operator should look at
 */
record ConfigurationChecked(
    ExitCode exitCode, String file, ContentSummary content, ImmutableList<FaultLine> warnings)
    implements Report {

  ConfigurationChecked(
      String file, Configuration configuration, ImmutableList<FaultLine> warnings) {
    this(ExitCode.OK, file, ContentSummary.of(configuration), warnings);
  }

  @Override
  public void printText(PrintWriter out) {
    warnings.forEach(warning -> warning.print(out));
    out.println(file + ": good, " + content);
    out.println("Next: apricotmill config apply " + file);
  }
}
