package dev.apricotmill.core.sheet;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.core.configuration.Configuration;
import java.time.LocalDate;

/** The result of applying a sheet, which is accepted or refused as a whole. */
public sealed interface SheetResult {
  /**
   * The sheet is valid and may be applied.
   *
   * @param day the day of the sheet
   * @param configuration the configuration with the sheet applied, with the generation of the
   *     current configuration
   * @param customers number of customer lines
   * @param stops number of stop lines
   */
  record Accepted(LocalDate day, Configuration configuration, int customers, int stops)
      implements SheetResult {}

  /**
   * The sheet is refused and changes nothing.
   *
   * @param faults all faults, sorted by line
   */
  record Refused(ImmutableList<SheetFault> faults) implements SheetResult {}
}
