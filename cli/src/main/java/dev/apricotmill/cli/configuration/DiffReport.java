package dev.apricotmill.cli.configuration;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.cli.command.ExitCode;
import dev.apricotmill.cli.command.Report;
import dev.apricotmill.core.configuration.ConfigurationDiff.Difference;
import java.io.PrintWriter;

/**
 * Tells what differs between two configurations.
 *
 * @param exitCode the code that the process exits with
 * @param before what is compared
 * @param after what it is compared with
 * @param differences every difference
 */
record DiffReport(
    ExitCode exitCode, String before, String after, ImmutableList<Difference> differences)
    implements Report {

  @Override
  public void printText(PrintWriter out) {
    out.println("from " + before + " to " + after + ":");
    differences.forEach(difference -> print(difference, out));
    out.println(differences.isEmpty() ? "no difference" : "differences: " + differences.size());
  }

  /** Prints one difference with a sign in front. */
  static void print(Difference difference, PrintWriter out) {
    if (difference.before().isEmpty()) {
      out.println("+ " + difference.place() + ": " + difference.after().orElse(""));
    } else if (difference.after().isEmpty()) {
      out.println("- " + difference.place() + ": " + difference.before().get());
    } else {
      out.println(
          "~ "
              + difference.place()
              + ": "
              + difference.before().get()
              + " -> "
              + difference.after().get());
    }
  }
}
