package dev.apricotmill.cli.configuration;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import com.google.common.collect.ImmutableList;
import dev.apricotmill.cli.command.CommandContext;
import dev.apricotmill.cli.command.ExitCode;
import dev.apricotmill.cli.command.PlatformCommand;
import dev.apricotmill.cli.command.Report;
import dev.apricotmill.coordination.configuration.HistoryResult;
import dev.apricotmill.coordination.platform.Platform;
import java.io.PrintWriter;
import java.time.temporal.ChronoUnit;

/** Lists accepted configurations with who and when. */
@Parameters(commandDescription = "List accepted configurations with who and when")
public final class ConfigHistoryCommand extends PlatformCommand {
  private static final int MAXIMUM_LIMIT = 1_000;

  @Parameter(names = "--limit", description = "How many to list, newest first, 1 to 1000")
  private int limit = 20;

  @Override
  public void check() {
    super.check();
    if (limit < 1 || limit > MAXIMUM_LIMIT) {
      throw new ParameterException("--limit must be 1 to " + MAXIMUM_LIMIT);
    }
  }

  @Override
  public String helpText() {
    return """
        Times are those of the clock of whoever made the change.

        Example: apricotmill config history --limit 5
        """;
  }

  @Override
  protected Report run(CommandContext context, Platform platform) {
    HistoryResult result = new ConfigurationClient(context, platform, options()).history(limit);
    if (result instanceof HistoryResult.Unavailable unavailable) {
      return ConfigurationClient.unavailable(unavailable.failure());
    }
    return new History(
        ExitCode.OK,
        ((HistoryResult.Listed) result)
            .heads().stream().map(HeadSummary::of).collect(ImmutableList.toImmutableList()));
  }

  /**
   * The accepted configurations.
   *
   * @param exitCode the code that the process exits with
   * @param configurations who accepted them and when, newest first
   */
  record History(ExitCode exitCode, ImmutableList<HeadSummary> configurations) implements Report {
    @Override
    public void printText(PrintWriter out) {
      out.printf("%10s  %-24s  %-20s  %s%n", "GENERATION", "WHEN", "WHO", "CHANGE");
      for (HeadSummary head : configurations) {
        out.printf(
            "%10d  %-24s  %-20s  %s%n",
            head.generation(),
            head.instant().truncatedTo(ChronoUnit.SECONDS),
            head.author(),
            head.changeId());
      }
      if (configurations.isEmpty()) {
        out.println("no configuration was ever accepted");
      }
    }
  }
}
