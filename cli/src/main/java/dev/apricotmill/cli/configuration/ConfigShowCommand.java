package dev.apricotmill.cli.configuration;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.annotation.JsonRawValue;
import dev.apricotmill.cli.command.CommandContext;
import dev.apricotmill.cli.command.ExitCode;
import dev.apricotmill.cli.command.Failure;
import dev.apricotmill.cli.command.PlatformCommand;
import dev.apricotmill.cli.command.Report;
import dev.apricotmill.coordination.platform.Platform;
import dev.apricotmill.core.configuration.ConfigurationFile;
import java.io.PrintWriter;
import org.jspecify.annotations.Nullable;

/** Shows a configuration as a file that can be applied again. */
@Parameters(commandDescription = "Show the configuration in force, or an earlier one")
public final class ConfigShowCommand extends PlatformCommand {
  @Parameter(names = "--generation", description = "The generation to show; the newest if absent")
  private @Nullable Long generation;

  @Override
  public String helpText() {
    return """
        As text, the report is a configuration file with key hashes, ready to edit and apply;
        who accepted it and when goes to the error output.

        Example: apricotmill config show --generation 7 > deployment.json
        """;
  }

  @Override
  protected Report run(CommandContext context, Platform platform) {
    ConfigurationClient client = new ConfigurationClient(context, platform, options());
    StoredConfiguration stored =
        generation == null ? client.readCurrent() : client.read(generation);
    if (stored instanceof StoredConfiguration.Failed failed) {
      return failed.failure();
    }
    StoredConfiguration.Present present = (StoredConfiguration.Present) stored;
    if (present.head().isEmpty()) {
      return Failure.Kind.NO_CONFIGURATION.report(
          "no configuration was ever accepted", "apricotmill config apply FILE");
    }
    context.progress(present.head().get().toString());
    return new Shown(
        ExitCode.OK, present.head().get(), ConfigurationFile.render(present.configuration()));
  }

  /**
   * A configuration.
   *
   * @param exitCode the code that the process exits with
   * @param head who accepted it and when
   * @param configuration the configuration file
   */
  record Shown(ExitCode exitCode, HeadSummary head, @JsonRawValue String configuration)
      implements Report {
    @Override
    public void printText(PrintWriter out) {
      out.print(configuration);
    }
  }
}
