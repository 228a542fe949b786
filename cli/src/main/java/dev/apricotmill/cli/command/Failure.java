package dev.apricotmill.cli.command;

import java.io.PrintWriter;

/**
 * Tells that a command could not do its work.
 *
 * @param exitCode the code that the process exits with
 * @param failure what went wrong
 * @param message what went wrong, with particulars
 * @param nextStep what the operator may do
 */
public record Failure(ExitCode exitCode, Kind failure, String message, String nextStep)
    implements Report {

  /** What can go wrong with any command. */
  public enum Kind {
    /** No address of the platform was given. */
    NO_PLATFORM_ADDRESS(ExitCode.USAGE),
    /** No daemon was given or found. */
    NO_DAEMONS(ExitCode.USAGE),
    /** A file can't be read. */
    UNREADABLE_FILE(ExitCode.NO_INPUT),
    /** The platform gave no usable answer to a read. */
    PLATFORM_UNAVAILABLE(ExitCode.UNAVAILABLE),
    /** No configuration was ever accepted. */
    NO_CONFIGURATION(ExitCode.NO_INPUT),
    /** The generation asked for is not kept. */
    UNKNOWN_GENERATION(ExitCode.NO_INPUT),
    /** The stored configuration can't be read by this program. */
    UNREADABLE_CONFIGURATION(ExitCode.DATA),
    /** A daemon gave no usable answer. */
    DAEMON_UNAVAILABLE(ExitCode.UNAVAILABLE),
    /** A daemon refused what was asked. */
    DAEMON_REFUSED(ExitCode.UNAVAILABLE),
    /** The daemon did not finish in the time allowed. */
    NOT_FINISHED(ExitCode.UNDETERMINED);

    private final ExitCode exitCode;

    Kind(ExitCode exitCode) {
      this.exitCode = exitCode;
    }

    /** Returns a report of this failure. */
    public Failure report(String message, String nextStep) {
      return new Failure(exitCode, this, message, nextStep);
    }
  }

  @Override
  public void printText(PrintWriter out) {
    out.println("apricotmill: " + message);
    out.println("Next: " + nextStep);
  }
}
