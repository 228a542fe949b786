package dev.apricotmill.cli.sheet;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.core.sheet.SheetFault;
import java.util.List;

/**
 * One fault of a sheet as a report shows it.
 *
 * @param kind what is wrong
 * @param line the line in the file
 * @param column the name of the column, empty if the whole line is meant
 * @param subject the value that is wrong
 * @param message the whole fault for a person
 */
record SheetFaultLine(
    SheetFault.Kind kind, int line, String column, String subject, String message) {

  static ImmutableList<SheetFaultLine> of(List<SheetFault> faults) {
    return faults.stream()
        .map(
            fault ->
                new SheetFaultLine(
                    fault.kind(), fault.line(), fault.column(), fault.subject(), fault.describe()))
        .collect(ImmutableList.toImmutableList());
  }
}
