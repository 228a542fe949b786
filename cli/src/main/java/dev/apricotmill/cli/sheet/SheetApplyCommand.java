package dev.apricotmill.cli.sheet;

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
import dev.apricotmill.cli.configuration.AuthorOptions;
import dev.apricotmill.cli.configuration.ConfigurationClient;
import dev.apricotmill.cli.configuration.HeadSummary;
import dev.apricotmill.cli.configuration.ProposalReport;
import dev.apricotmill.cli.configuration.Unchanged;
import dev.apricotmill.coordination.configuration.ChangeResult;
import dev.apricotmill.coordination.configuration.ConfigurationHead;
import dev.apricotmill.coordination.configuration.HistoryResult;
import dev.apricotmill.coordination.platform.Platform;
import dev.apricotmill.core.configuration.ConfigurationDiff;
import dev.apricotmill.core.configuration.ConfigurationDiff.Difference;
import dev.apricotmill.core.sheet.SheetApplier;
import java.time.LocalDate;
import java.util.Optional;

/** Takes a sheet as the instructions of the day. */
@Parameters(commandDescription = "Check a morning sheet and put it in force")
public final class SheetApplyCommand extends PlatformCommand {
  /** How many generations are searched for an earlier sheet of the day. */
  private static final int SEARCHED_GENERATIONS = 100;

  @Parameter(
      required = true,
      validateWith = OperandValidator.class,
      description = "FILE: the sheet as CSV in UTF-8")
  private String file = "";

  @ParametersDelegate private final SheetOptions sheetOptions = new SheetOptions();
  @ParametersDelegate private final AuthorOptions authorOptions = new AuthorOptions();

  @Parameter(names = "--replace", description = "Take the sheet although one of today is in force")
  private boolean replace;

  @Override
  public void check() {
    super.check();
    authorOptions.check();
  }

  @Override
  public String helpText() {
    return """
        The sheet is taken whole or refused whole. It sets weights, priorities and limits of
        customers and the planned stops of the day; what it does not name stays as it is.
        A second sheet of the day is a conflict that shows the first, unless --replace is given.
        If the platform's answer is lost, the message gives the command that finds out.

        Example: apricotmill sheet apply today.csv --time-zone Europe/Lisbon --author planning
        """;
  }

  @Override
  protected Report run(CommandContext context, Platform platform) {
    InputFile.Result input = InputFile.read(file, SheetApplier.MAXIMUM_BYTES);
    if (input instanceof InputFile.Result.Unreadable unreadable) {
      return unreadable.failure();
    }
    SheetCheck check = new SheetCheck(context, options(), sheetOptions, platform);
    SheetCheck.Result result = check.check(file, ((InputFile.Result.Read) input).bytes());
    if (result instanceof SheetCheck.Result.Bad bad) {
      return bad.report();
    }
    return propose(context, check.client(), (SheetCheck.Result.Good) result);
  }

  private Report propose(
      CommandContext context, ConfigurationClient client, SheetCheck.Result.Good good) {
    ImmutableList<Difference> differences =
        ConfigurationDiff.between(good.current(), good.sheet().configuration());
    long current = good.current().generation();
    long expected = authorOptions.expectedGeneration().orElse(current);
    String prefix = changePrefix(good.sheet().day());
    if (!authorOptions.repeatsChange()) {
      if (differences.isEmpty() && expected == current) {
        return new Unchanged(ExitCode.OK, current);
      }
      Optional<Report> obstacle = replace ? Optional.empty() : earlierSheet(client, prefix);
      if (obstacle.isPresent()) {
        return obstacle.get();
      }
    }
    String changeId = authorOptions.changeId(prefix);
    ChangeResult result =
        client.propose(
            good.sheet().configuration(), expected, authorOptions.author(context), changeId);
    String retryCommand =
        CommandLineText.of(
            options(),
            "sheet",
            "apply",
            file,
            "--time-zone",
            sheetOptions.timeZone(context).getId(),
            "--expect",
            Long.toString(expected),
            "--change-id",
            changeId);
    return ProposalReport.of(
        result,
        new ProposalReport.Proposal(
            file,
            retryCommand,
            "apricotmill sheet check " + file + " checks yours against what is in force now",
            differences,
            ImmutableList.of()));
  }

  /** Returns the conflict with a sheet of the same day that is in force, or a failed search. */
  private Optional<Report> earlierSheet(ConfigurationClient client, String prefix) {
    HistoryResult result = client.history(SEARCHED_GENERATIONS);
    if (result instanceof HistoryResult.Unavailable unavailable) {
      return Optional.of(ConfigurationClient.unavailable(unavailable.failure()));
    }
    ImmutableList<ConfigurationHead> heads = ((HistoryResult.Listed) result).heads();
    return heads.stream()
        .filter(head -> head.changeId().startsWith(prefix))
        .findFirst()
        .map(
            head ->
                new ProposalReport.Conflict(
                    ExitCode.CONFLICT,
                    file,
                    Optional.of(HeadSummary.of(head)),
                    Optional.of(HeadSummary.of(heads.get(0))),
                    "add --replace if yours is the newer sheet of the day"));
  }

  private static String changePrefix(LocalDate day) {
    return "sheet-" + day + "-";
  }
}
