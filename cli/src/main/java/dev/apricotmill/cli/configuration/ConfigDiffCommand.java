package dev.apricotmill.cli.configuration;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import dev.apricotmill.cli.command.CommandContext;
import dev.apricotmill.cli.command.ExitCode;
import dev.apricotmill.cli.command.InputFile;
import dev.apricotmill.cli.command.OperandValidator;
import dev.apricotmill.cli.command.PlatformCommand;
import dev.apricotmill.cli.command.Report;
import dev.apricotmill.coordination.platform.Platform;
import dev.apricotmill.core.configuration.CheckResult;
import dev.apricotmill.core.configuration.Configuration;
import dev.apricotmill.core.configuration.ConfigurationDiff;
import dev.apricotmill.core.configuration.ConfigurationFile;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/** Compares two generations, or a file with the configuration in force. */
@Parameters(commandDescription = "Show what differs between two configurations")
public final class ConfigDiffCommand extends PlatformCommand {
  @Parameter(
      validateWith = OperandValidator.class,
      description = "[FILE]: a configuration file to compare with the one in force")
  private @Nullable String file;

  @Parameter(
      names = "--from",
      description = "The earlier generation; the one before --to if absent")
  private @Nullable Long from;

  @Parameter(names = "--to", description = "The later generation; the newest if absent")
  private @Nullable Long to;

  @Override
  public void check() {
    super.check();
    if (file != null && to != null) {
      throw new ParameterException("give FILE or --to, not both");
    }
  }

  @Override
  public String helpText() {
    return """
        Each line begins with + (added), - (removed) or ~ (changed). Keys show only as changed.

        Example: apricotmill config diff deployment.json
        Example: apricotmill config diff --from 6 --to 7
        """;
  }

  @Override
  protected Report run(CommandContext context, Platform platform) {
    ConfigurationClient client = new ConfigurationClient(context, platform, options());
    return file == null ? compareGenerations(client) : compareFile(client, file);
  }

  private Report compareGenerations(ConfigurationClient client) {
    StoredConfiguration after = to == null ? client.readCurrent() : client.read(to);
    if (after instanceof StoredConfiguration.Failed failed) {
      return failed.failure();
    }
    Configuration later = ((StoredConfiguration.Present) after).configuration();
    long earlierGeneration = from == null ? Math.max(0, later.generation() - 1) : from;
    StoredConfiguration before = earlier(client, earlierGeneration);
    if (before instanceof StoredConfiguration.Failed failed) {
      return failed.failure();
    }
    return report(
        ((StoredConfiguration.Present) before).configuration(),
        "generation " + later.generation(),
        later);
  }

  private Report compareFile(ConfigurationClient client, String name) {
    InputFile.Result input = InputFile.read(name, ConfigurationFile.MAXIMUM_BYTES);
    if (input instanceof InputFile.Result.Unreadable unreadable) {
      return unreadable.failure();
    }
    StoredConfiguration before = from == null ? client.readCurrent() : earlier(client, from);
    if (before instanceof StoredConfiguration.Failed failed) {
      return failed.failure();
    }
    Configuration stored = ((StoredConfiguration.Present) before).configuration();
    CheckResult result =
        ConfigurationFile.check(((InputFile.Result.Read) input).bytes(), stored.plannedStops());
    if (result instanceof CheckResult.Valid valid) {
      return report(stored, name, valid.configuration());
    }
    return new ConfigurationRefused(name, FaultLine.of(((CheckResult.Invalid) result).faults()));
  }

  private static StoredConfiguration earlier(ConfigurationClient client, long generation) {
    return generation == 0
        ? new StoredConfiguration.Present(Optional.empty(), Configuration.NONE)
        : client.read(generation);
  }

  private static Report report(Configuration before, String afterName, Configuration after) {
    return new DiffReport(
        ExitCode.OK,
        "generation " + before.generation(),
        afterName,
        ConfigurationDiff.between(before, after));
  }
}
