package dev.apricotmill.cli.command;

/** The exit codes of the command line, after those of BSD's {@code sysexits.h}. */
public enum ExitCode {
  /** The command did what was asked. */
  OK(0, "done"),
  /** The command line itself is wrong. */
  USAGE(64, "the command line is wrong"),
  /** The given configuration or sheet is refused. */
  DATA(65, "the given file is refused; every fault was named"),
  /** A file can't be read, or what was asked for does not exist. */
  NO_INPUT(66, "a file cannot be read, or what was asked for does not exist"),
  /** The platform or a daemon can't be reached; nothing was changed. */
  UNAVAILABLE(69, "the platform or a daemon cannot be reached; nothing was changed"),
  /** The program itself failed. */
  INTERNAL(70, "the program itself failed"),
  /** The change may or may not have taken effect. */
  UNDETERMINED(75, "the change may have taken effect; the message says how to find out"),
  /** Somebody else changed the configuration first; nothing was changed. */
  CONFLICT(76, "another change came first; nothing was changed");

  private final int number;
  private final String meaning;

  ExitCode(int number, String meaning) {
    this.number = number;
    this.meaning = meaning;
  }

  /** Returns the number that the process exits with. */
  public int number() {
    return number;
  }

  /** Returns what the code tells, for the help text. */
  public String meaning() {
    return meaning;
  }
}
