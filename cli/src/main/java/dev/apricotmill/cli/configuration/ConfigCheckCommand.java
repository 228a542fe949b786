package dev.apricotmill.cli.configuration;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.google.common.collect.ImmutableList;
import dev.apricotmill.cli.command.Command;
import dev.apricotmill.cli.command.CommandContext;
import dev.apricotmill.cli.command.InputFile;
import dev.apricotmill.cli.command.OperandValidator;
import dev.apricotmill.cli.command.Report;
import dev.apricotmill.core.configuration.CheckResult;
import dev.apricotmill.core.configuration.ConfigurationFile;

/** Checks a configuration file without the platform. */
@Parameters(commandDescription = "Check a configuration file and name every fault")
public final class ConfigCheckCommand extends Command {
  @Parameter(
      required = true,
      validateWith = OperandValidator.class,
      description = "FILE: the configuration as JSON")
  private String file = "";

  @Override
  public String helpText() {
    return """
        Nothing is sent anywhere. Each fault is named with its line, column and JSON pointer.
        Warnings do not refuse the file. docs/CONFIGURATION.md describes the format.

        Example: apricotmill config check deployment.json
        """;
  }

  @Override
  public Report run(CommandContext context) {
    InputFile.Result input = InputFile.read(file, ConfigurationFile.MAXIMUM_BYTES);
    if (input instanceof InputFile.Result.Unreadable unreadable) {
      return unreadable.failure();
    }
    byte[] text = ((InputFile.Result.Read) input).bytes();
    CheckResult result = ConfigurationFile.check(text, ImmutableList.of());
    if (result instanceof CheckResult.Valid valid) {
      return new ConfigurationChecked(file, valid.configuration(), FaultLine.of(valid.warnings()));
    }
    return new ConfigurationRefused(file, FaultLine.of(((CheckResult.Invalid) result).faults()));
  }
}
