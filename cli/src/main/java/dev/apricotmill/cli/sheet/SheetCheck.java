package dev.apricotmill.cli.sheet;

import dev.apricotmill.cli.command.CommandContext;
import dev.apricotmill.cli.command.CommonOptions;
import dev.apricotmill.cli.command.Report;
import dev.apricotmill.cli.configuration.ConfigurationClient;
import dev.apricotmill.cli.configuration.StoredConfiguration;
import dev.apricotmill.coordination.platform.MachineListResult;
import dev.apricotmill.coordination.platform.Platform;
import dev.apricotmill.core.configuration.Configuration;
import dev.apricotmill.core.sheet.SheetApplier;
import dev.apricotmill.core.sheet.SheetContext;
import dev.apricotmill.core.sheet.SheetResult;

/** Checks a sheet against what the platform holds. */
final class SheetCheck {
  private final CommandContext context;
  private final CommonOptions options;
  private final SheetOptions sheetOptions;
  private final Platform platform;
  private final ConfigurationClient client;

  SheetCheck(
      CommandContext context, CommonOptions options, SheetOptions sheetOptions, Platform platform) {
    this.context = context;
    this.options = options;
    this.sheetOptions = sheetOptions;
    this.platform = platform;
    this.client = new ConfigurationClient(context, platform, options);
  }

  /** The answer to checking a sheet. */
  sealed interface Result {
    /**
     * The sheet may be taken.
     *
     * @param current the configuration in force
     * @param sheet the day and the configuration with the sheet
     */
    record Good(Configuration current, SheetResult.Accepted sheet) implements Result {}

    /**
     * The sheet may not be taken or could not be checked.
     *
     * @param report what to tell the operator
     */
    record Bad(Report report) implements Result {}
  }

  ConfigurationClient client() {
    return client;
  }

  /** Checks the bytes of a file. */
  Result check(String file, byte[] sheet) {
    StoredConfiguration stored = client.readCurrent();
    if (stored instanceof StoredConfiguration.Failed failed) {
      return new Result.Bad(failed.failure());
    }
    MachineListResult machines = context.await(platform.machines(options.timeout()));
    if (!(machines instanceof MachineListResult.Listed listed)) {
      return new Result.Bad(
          ConfigurationClient.unavailable(((MachineListResult.Unavailable) machines).failure()));
    }
    Configuration current = ((StoredConfiguration.Present) stored).configuration();
    SheetResult result =
        SheetApplier.apply(
            sheet,
            new SheetContext(
                current,
                listed.machines(),
                sheetOptions.today(context),
                sheetOptions.timeZone(context)));
    return result instanceof SheetResult.Accepted taken
        ? new Result.Good(current, taken)
        : new Result.Bad(
            new SheetRefused(file, SheetFaultLine.of(((SheetResult.Refused) result).faults())));
  }
}
