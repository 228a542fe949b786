package dev.apricotmill.cli.sheet;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.cli.command.ExitCode;
import dev.apricotmill.cli.command.Report;
import java.io.PrintWriter;

/**
 * Tells that a sheet is refused.
 *
 * @param exitCode the code that the process exits with
 * @param file the file
 * @param faults every fault
 */
record SheetRefused(ExitCode exitCode, String file, ImmutableList<SheetFaultLine> faults)
    implements Report {
  private static final int SHOWN_FAULTS = 1_000;

  SheetRefused(String file, ImmutableList<SheetFaultLine> faults) {
    this(ExitCode.DATA, file, faults);
  }

  @Override
  public void printText(PrintWriter out) {
    faults.stream().limit(SHOWN_FAULTS).forEach(fault -> out.println("error: " + fault.message()));
    if (faults.size() > SHOWN_FAULTS) {
      out.println("... and " + (faults.size() - SHOWN_FAULTS) + " more; --output json lists all");
    }
    out.println(file + ": refused whole, nothing was changed");
    out.println("Next: mend every error above, then apricotmill sheet check " + file);
  }
}
