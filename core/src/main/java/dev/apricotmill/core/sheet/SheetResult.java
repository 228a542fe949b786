package dev.apricotmill.core.sheet;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.core.configuration.Configuration;
import java.time.LocalDate;

/** The answer to a sheet, which is taken whole or refused whole. */
public sealed interface SheetResult {
  /**
   * The sheet may be taken.
   *
   * @param day its day
   * @param configuration the configuration with the sheet, at the generation that it was made from
   * @param customers how many customers it names
   * @param stops how many stops it plans
   */
  record Accepted(LocalDate day, Configuration configuration, int customers, int stops)
      implements SheetResult {}

  /**
   * The sheet is refused and changes nothing.
   *
   * @param faults every fault by line
   */
  record Refused(ImmutableList<SheetFault> faults) implements SheetResult {}
}
