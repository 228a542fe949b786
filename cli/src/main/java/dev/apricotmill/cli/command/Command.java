package dev.apricotmill.cli.command;

import com.beust.jcommander.ParametersDelegate;

/** One command with its options, which JCommander fills in. */
public abstract class Command {
  @ParametersDelegate private final CommonOptions options = new CommonOptions();

  /** Returns the options that every command takes. */
  public final CommonOptions options() {
    return options;
  }

  /** Checks the options; throws {@code ParameterException} if they do not fit together. */
  public void check() {
    options.check();
  }

  /** Returns examples and remarks for the help, one a line. */
  public abstract String helpText();

  /** Does the work. */
  public abstract Report run(CommandContext context);
}
