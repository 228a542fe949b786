package dev.apricotmill.cli.sheet;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.google.common.collect.ImmutableList;
import dev.apricotmill.cli.command.Command;
import dev.apricotmill.cli.command.CommandContext;
import dev.apricotmill.cli.command.ExitCode;
import dev.apricotmill.cli.command.InputFile;
import dev.apricotmill.cli.command.OperandValidator;
import dev.apricotmill.cli.command.Report;
import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.core.configuration.ConfigurationDiff;
import dev.apricotmill.core.sheet.SheetApplier;
import dev.apricotmill.core.sheet.SheetFault;
import java.util.Optional;

/** Checks a sheet and changes nothing. */
@Parameters(commandDescription = "Check a morning sheet and name every fault")
public final class SheetCheckCommand extends Command {
  @Parameter(
      required = true,
      validateWith = OperandValidator.class,
      description = "FILE: the sheet as CSV in UTF-8")
  private String file = "";

  @ParametersDelegate private final SheetOptions sheetOptions = new SheetOptions();

  @Override
  public String helpText() {
    return """
        Each fault is named with its line and column. Nothing is changed. Without the platform's
        address only the form of the sheet is checked. docs/SHEET.md describes the columns.

        Example: apricotmill sheet check today.csv --time-zone Europe/Lisbon
        """;
  }

  @Override
  public Report run(CommandContext context) {
    InputFile.Result input = InputFile.read(file, SheetApplier.MAXIMUM_BYTES);
    if (input instanceof InputFile.Result.Unreadable unreadable) {
      return unreadable.failure();
    }
    byte[] sheet = ((InputFile.Result.Read) input).bytes();
    Optional<PeerAddress> address = options().platform(context.environment());
    if (address.isEmpty()) {
      return checkForm(sheet);
    }
    SheetCheck check =
        new SheetCheck(
            context, options(), sheetOptions, context.connections().platform(address.get()));
    SheetCheck.Result result = check.check(file, sheet);
    if (result instanceof SheetCheck.Result.Bad bad) {
      return bad.report();
    }
    SheetCheck.Result.Good good = (SheetCheck.Result.Good) result;
    return new SheetChecked(
        ExitCode.OK,
        file,
        SheetChecked.Scope.CONFIGURATION,
        ConfigurationDiff.between(good.current(), good.sheet().configuration()));
  }

  private Report checkForm(byte[] sheet) {
    ImmutableList<SheetFault> faults = SheetApplier.checkFormat(sheet);
    return faults.isEmpty()
        ? new SheetChecked(ExitCode.OK, file, SheetChecked.Scope.FORM, ImmutableList.of())
        : new SheetRefused(file, SheetFaultLine.of(faults));
  }
}
