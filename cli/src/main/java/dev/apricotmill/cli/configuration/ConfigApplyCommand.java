package dev.apricotmill.cli.configuration;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.google.common.collect.ImmutableList;
import dev.apricotmill.cli.command.CommandContext;
import dev.apricotmill.cli.command.CommandLineText;
import dev.apricotmill.cli.command.ExitCode;
import dev.apricotmill.cli.command.InputFile;
import dev.apricotmill.cli.command.OperandValidator;
import dev.apricotmill.cli.command.PlatformCommand;
import dev.apricotmill.cli.command.Report;
import dev.apricotmill.coordination.configuration.ChangeResult;
import dev.apricotmill.coordination.platform.Platform;
import dev.apricotmill.core.configuration.CheckResult;
import dev.apricotmill.core.configuration.Configuration;
import dev.apricotmill.core.configuration.ConfigurationDiff;
import dev.apricotmill.core.configuration.ConfigurationDiff.Difference;
import dev.apricotmill.core.configuration.ConfigurationFile;

/** Makes a configuration file the configuration in force. */
@Parameters(commandDescription = "Check a configuration file and put it in force")
public final class ConfigApplyCommand extends PlatformCommand {
  @Parameter(
      required = true,
      validateWith = OperandValidator.class,
      description = "FILE: the configuration as JSON")
  private String file = "";

  @ParametersDelegate private final AuthorOptions authorOptions = new AuthorOptions();

  @Override
  public void check() {
    super.check();
    authorOptions.check();
  }

  @Override
  public String helpText() {
    return """
        The file is taken whole or refused whole. Plain keys in it are hashed here and not sent.
        Planned stops in force stay if the file does not name any.
        If another operator's change came first, nothing is changed and that change is shown.
        If the platform's answer is lost, the message gives the command that finds out.

        Example: apricotmill config apply deployment.json --expect 7
        """;
  }

  @Override
  protected Report run(CommandContext context, Platform platform) {
    InputFile.Result input = InputFile.read(file, ConfigurationFile.MAXIMUM_BYTES);
    if (input instanceof InputFile.Result.Unreadable unreadable) {
      return unreadable.failure();
    }
    byte[] text = ((InputFile.Result.Read) input).bytes();
    ConfigurationClient client = new ConfigurationClient(context, platform, options());
    StoredConfiguration stored = client.readCurrent();
    if (stored instanceof StoredConfiguration.Failed failed) {
      return failed.failure();
    }
    Configuration current = ((StoredConfiguration.Present) stored).configuration();
    CheckResult result = ConfigurationFile.check(text, current.plannedStops());
    if (result instanceof CheckResult.Valid valid) {
      return propose(context, client, current, valid);
    }
    return new ConfigurationRefused(file, FaultLine.of(((CheckResult.Invalid) result).faults()));
  }

  private Report propose(
      CommandContext context,
      ConfigurationClient client,
      Configuration current,
      CheckResult.Valid valid) {
    ImmutableList<Difference> differences =
        ConfigurationDiff.between(current, valid.configuration());
    long expected = authorOptions.expectedGeneration().orElse(current.generation());
    if (differences.isEmpty()
        && expected == current.generation()
        && !authorOptions.repeatsChange()) {
      return new Unchanged(ExitCode.OK, current.generation());
    }
    String changeId = authorOptions.changeId("file-");
    ChangeResult result =
        client.propose(valid.configuration(), expected, authorOptions.author(context), changeId);
    String retryCommand =
        CommandLineText.of(
            options(),
            "config",
            "apply",
            file,
            "--expect",
            Long.toString(expected),
            "--change-id",
            changeId);
    return ProposalReport.of(
        result,
        new ProposalReport.Proposal(
            file,
            retryCommand,
            CommandLineText.of(options(), "config", "diff", file)
                + " shows what yours would change now",
            differences,
            FaultLine.of(valid.warnings())));
  }
}
