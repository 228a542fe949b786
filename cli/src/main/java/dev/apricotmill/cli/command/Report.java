package dev.apricotmill.cli.command;

import java.io.PrintWriter;

/** What a command has to tell; as JSON it has the fields of the record that implements it. */
public interface Report {
  /** Returns the code that the process exits with. */
  ExitCode exitCode();

  /** Prints the report as lines for a person. */
  void printText(PrintWriter out);
}
