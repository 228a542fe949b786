package dev.apricotmill.cli.sheet;

import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import dev.apricotmill.cli.command.CommandContext;
import dev.apricotmill.cli.command.ExitCode;
import dev.apricotmill.cli.command.Failure;
import dev.apricotmill.cli.command.PlatformCommand;
import dev.apricotmill.cli.command.Report;
import dev.apricotmill.cli.configuration.ConfigurationClient;
import dev.apricotmill.cli.configuration.HeadSummary;
import dev.apricotmill.cli.configuration.StoredConfiguration;
import dev.apricotmill.coordination.platform.Platform;
import dev.apricotmill.core.sheet.SheetWriter;
import java.io.PrintWriter;

/** Shows what is in force as a sheet of today. */
@Parameters(commandDescription = "Show what is in force as a sheet of today, ready to edit")
public final class SheetShowCommand extends PlatformCommand {
  @ParametersDelegate private final SheetOptions sheetOptions = new SheetOptions();

  @Override
  public String helpText() {
    return """
        Lists every customer and the planned stops that begin today. As text, the report is a
        sheet that can be applied; who accepted it and when goes to the error output.

        Example: apricotmill sheet show > today.csv
        """;
  }

  @Override
  protected Report run(CommandContext context, Platform platform) {
    StoredConfiguration stored =
        new ConfigurationClient(context, platform, options()).readCurrent();
    if (stored instanceof StoredConfiguration.Failed failed) {
      return failed.failure();
    }
    StoredConfiguration.Present present = (StoredConfiguration.Present) stored;
    if (present.head().isEmpty()) {
      return Failure.Kind.NO_CONFIGURATION.report(
          "no configuration was ever accepted", "apricotmill config apply FILE");
    }
    context.progress(present.head().get().toString());
    String sheet =
        SheetWriter.render(
            present.configuration(), sheetOptions.today(context), sheetOptions.timeZone(context));
    return new Shown(ExitCode.OK, present.head().get(), sheet);
  }

  /**
   * The sheet.
   *
   * @param exitCode the code that the process exits with
   * @param head who accepted the configuration and when
   * @param sheet the sheet as CSV
   */
  record Shown(ExitCode exitCode, HeadSummary head, String sheet) implements Report {
    @Override
    public void printText(PrintWriter out) {
      out.print(sheet);
    }
  }
}
