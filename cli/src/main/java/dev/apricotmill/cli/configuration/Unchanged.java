package dev.apricotmill.cli.configuration;

import dev.apricotmill.cli.command.ExitCode;
import dev.apricotmill.cli.command.Report;
import java.io.PrintWriter;

/**
 * Tells that what was asked for is in force already.
 *
 * @param exitCode the code that the process exits with
 * @param generation the generation in force
 */
public record Unchanged(ExitCode exitCode, long generation) implements Report {
  @Override
  public void printText(PrintWriter out) {
    out.println("nothing to change: generation " + generation + " says the same already");
  }
}
