package dev.apricotmill.cli.configuration;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.cli.command.ExitCode;
import dev.apricotmill.cli.command.Report;
import java.io.PrintWriter;

/**
 * Tells that a configuration file is refused.
 *
 * @param exitCode the code that the process exits with
 * @param file the file
 * @param faults every fault
 */
record ConfigurationRefused(ExitCode exitCode, String file, ImmutableList<FaultLine> faults)
    implements Report {
  private static final int SHOWN_FAULTS = 1_000;

  ConfigurationRefused(String file, ImmutableList<FaultLine> faults) {
    this(ExitCode.DATA, file, faults);
  }

  @Override
  public void printText(PrintWriter out) {
    faults.stream().limit(SHOWN_FAULTS).forEach(fault -> fault.print(out));
    if (faults.size() > SHOWN_FAULTS) {
      out.println("... and " + (faults.size() - SHOWN_FAULTS) + " more; --output json lists all");
    }
    out.println(file + ": refused, nothing was changed");
    out.println("Next: mend every error above, then apricotmill config check " + file);
  }
}
