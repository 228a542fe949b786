package dev.apricotmill.core.sheet;

import com.google.common.base.Enums;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Range;
import dev.apricotmill.core.configuration.ConfigurationLimits;
import dev.apricotmill.core.request.Priority;
import dev.apricotmill.core.sheet.SheetFault.Kind;
import java.time.DateTimeException;
import java.time.Instant;
import java.time.LocalDate;
import java.time.OffsetDateTime;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;

/** Reads the cells of one line strictly and collects all faults with their location. */
final class SheetRow {
  private static final Pattern DECIMAL = Pattern.compile("-?[0-9]{1,12}(\\.[0-9]{1,6})?");
  private static final Pattern INTEGER = Pattern.compile("-?[0-9]{1,9}");
  private static final Pattern FORMULA = Pattern.compile("[=+@\\-\\t\\r].*", Pattern.DOTALL);
  private static final int MAXIMUM_SUBJECT_LENGTH = 80;

  private final int line;
  private final ImmutableMap<SheetColumn, String> cells;
  private final SheetFaults faults;

  SheetRow(int line, List<SheetColumn> header, List<String> values, SheetFaults faults) {
    this.line = line;
    this.faults = faults;
    ImmutableMap.Builder<SheetColumn, String> byColumn = ImmutableMap.builder();
    for (int index = 0; index < header.size(); index++) {
      byColumn.put(header.get(index), values.get(index));
    }
    this.cells = byColumn.buildOrThrow();
  }

  int line() {
    return line;
  }

  /** Returns the unparsed text of a cell. */
  String cell(SheetColumn column) {
    return cells.getOrDefault(column, "");
  }

  void fault(Kind kind, SheetColumn column, String subject) {
    String shown =
        subject.length() > MAXIMUM_SUBJECT_LENGTH
            ? subject.substring(0, MAXIMUM_SUBJECT_LENGTH) + "..."
            : subject;
    faults.add(kind, line, column.header(), shown);
  }

  /** Reports the cells in {@code columns} that are not empty. */
  void requireEmpty(SheetColumn... columns) {
    for (SheetColumn column : columns) {
      if (!cell(column).isEmpty()) {
        fault(Kind.UNEXPECTED_VALUE, column, cell(column));
      }
    }
  }

  Optional<LocalDate> day() {
    return required(SheetColumn.DAY)
        .flatMap(
            text -> {
              try {
                return Optional.of(LocalDate.parse(text));
              } catch (DateTimeException e) {
                fault(kindUnlessFormula(Kind.MALFORMED_DAY, text), SheetColumn.DAY, text);
                return Optional.empty();
              }
            });
  }

  Optional<String> name() {
    return required(SheetColumn.NAME)
        .filter(
            text -> {
              boolean valid = ConfigurationLimits.isName(text);
              if (!valid) {
                fault(kindUnlessFormula(Kind.MALFORMED_NAME, text), SheetColumn.NAME, text);
              }
              return valid;
            });
  }

  Optional<Priority> priority() {
    return optional(SheetColumn.PRIORITY)
        .flatMap(
            text -> {
              Optional<Priority> priority = Enums.getIfPresent(Priority.class, text).toJavaUtil();
              if (priority.isEmpty()) {
                fault(kindUnlessFormula(Kind.UNKNOWN_PRIORITY, text), SheetColumn.PRIORITY, text);
              }
              return priority;
            });
  }

  Optional<Integer> integer(SheetColumn column, Range<Integer> range) {
    return optional(column)
        .filter(text -> isNumber(column, text, INTEGER))
        .map(Integer::valueOf)
        .filter(value -> isInRange(column, value, range));
  }

  Optional<Double> decimal(SheetColumn column, Range<Double> range) {
    return optional(column)
        .filter(text -> isNumber(column, text, DECIMAL))
        .map(Double::valueOf)
        .filter(value -> isInRange(column, value, range));
  }

  Optional<Instant> time(SheetColumn column) {
    return required(column)
        .flatMap(
            text -> {
              try {
                return Optional.of(OffsetDateTime.parse(text).toInstant());
              } catch (DateTimeException e) {
                fault(kindUnlessFormula(Kind.MALFORMED_TIME, text), column, text);
                return Optional.empty();
              }
            });
  }

  private Optional<String> optional(SheetColumn column) {
    return Optional.of(cell(column)).filter(text -> !text.isEmpty());
  }

  private Optional<String> required(SheetColumn column) {
    Optional<String> text = optional(column);
    if (text.isEmpty()) {
      fault(Kind.MISSING_VALUE, column, "");
    }
    return text;
  }

  private boolean isNumber(SheetColumn column, String text, Pattern form) {
    boolean valid = form.matcher(text).matches();
    if (!valid) {
      fault(kindUnlessFormula(Kind.MALFORMED_NUMBER, text), column, text);
    }
    return valid;
  }

  private <T extends Comparable<T>> boolean isInRange(SheetColumn column, T value, Range<T> range) {
    boolean valid = range.contains(value);
    if (!valid) {
      fault(
          Kind.OUT_OF_RANGE, column, value + ", allowed is " + ConfigurationLimits.describe(range));
    }
    return valid;
  }

  private static Kind kindUnlessFormula(Kind kind, String text) {
    return FORMULA.matcher(text).matches() ? Kind.FORMULA_LIKE : kind;
  }
}
