package dev.apricotmill.cli.sheet;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.cli.command.ExitCode;
import dev.apricotmill.cli.command.Report;
import dev.apricotmill.core.configuration.ConfigurationDiff.Difference;
import java.io.PrintWriter;

/**
 * Tells that a sheet may be taken.
 *
 * @param exitCode the code that the process exits with
 * @param file the file
 * @param scope what it was checked against
 * @param differences what it would change
 */
record SheetChecked(
    ExitCode exitCode, String file, Scope scope, ImmutableList<Difference> differences)
    implements Report {

  /** What a sheet was checked against. */
  enum Scope {
    /** Only the form was checked, since no platform was named. */
    FORM,
    /** The sheet was checked against the configuration in force and the list of VMs. */
    CONFIGURATION
  }

  @Override
  public void printText(PrintWriter out) {
    if (scope == Scope.FORM) {
      out.println(file + ": the form is good; day, customers and machines were not checked");
      out.println("Next: name the platform with --platform IP:PORT to check the rest");
    } else {
      out.println(file + ": good, would change " + differences.size() + " values");
      out.println("Next: apricotmill sheet apply " + file);
    }
  }
}
