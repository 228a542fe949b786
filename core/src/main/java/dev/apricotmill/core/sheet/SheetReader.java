package dev.apricotmill.core.sheet;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.core.configuration.ConfigurationLimits;
import dev.apricotmill.core.configuration.PlannedStop;
import dev.apricotmill.core.request.CustomerId;
import dev.apricotmill.core.request.Priority;
import dev.apricotmill.core.sheet.SheetFault.Kind;
import java.time.Duration;
import java.time.Instant;
import java.time.LocalDate;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/** Reads a sheet and finds all faults that can be found without the current configuration. */
final class SheetReader {
  private static final Duration MAXIMUM_STOP_DURATION = Duration.ofDays(1);

  private final SheetFaults faults;
  private final ImmutableList.Builder<CustomerLine> customers = ImmutableList.builder();
  private final ImmutableList.Builder<StopLine> stops = ImmutableList.builder();
  private final Set<CustomerId> seenCustomers = new HashSet<>();
  private Optional<LocalDate> day = Optional.empty();
  private int dataLines;
  private boolean endSeen;

  SheetReader(SheetFaults faults) {
    this.faults = faults;
  }

  /** Returns the content that could be read. */
  SheetContent read(byte[] bytes) {
    SheetText.decode(bytes, faults).ifPresent(this::readText);
    return new SheetContent(day, customers.build(), stopsWithinLimit());
  }

  private void readText(String text) {
    SheetTable table = new SheetTable(faults);
    ImmutableList<SheetRow> rows = table.rows(text);
    rows.forEach(this::readRow);
    if (!table.isIncomplete() && !endSeen) {
      int lastLine = rows.isEmpty() ? 1 : rows.get(rows.size() - 1).line();
      faults.add(Kind.MISSING_END, lastLine, "", "");
    }
  }

  private void readRow(SheetRow row) {
    if (endSeen) {
      row.fault(Kind.LINE_AFTER_END, SheetColumn.KIND, row.cell(SheetColumn.KIND));
    }
    row.day().ifPresent(rowDay -> checkDay(row, rowDay));
    switch (row.cell(SheetColumn.KIND)) {
      case "customer" -> readCustomer(row);
      case "stop" -> readStop(row);
      case "end" -> readEnd(row);
      case "service" -> row.fault(Kind.SERVICE_LINE, SheetColumn.KIND, "");
      case "" -> row.fault(Kind.MISSING_VALUE, SheetColumn.KIND, "");
      default -> row.fault(Kind.UNKNOWN_KIND, SheetColumn.KIND, row.cell(SheetColumn.KIND));
    }
  }

  private void checkDay(SheetRow row, LocalDate rowDay) {
    if (day.isEmpty()) {
      day = Optional.of(rowDay);
    } else if (!day.get().equals(rowDay)) {
      row.fault(Kind.MIXED_DAYS, SheetColumn.DAY, rowDay.toString());
    }
  }

  private void readCustomer(SheetRow row) {
    dataLines++;
    int faultsBefore = faults.count();
    row.requireEmpty(SheetColumn.FROM, SheetColumn.UNTIL);
    Optional<CustomerId> customer = row.name().map(CustomerId::new);
    Optional<Integer> weight = row.integer(SheetColumn.WEIGHT, ConfigurationLimits.WEIGHT);
    Optional<Priority> priority = row.priority();
    Optional<Double> requests =
        row.decimal(SheetColumn.REQUESTS_PER_SECOND, ConfigurationLimits.REQUESTS_PER_SECOND);
    Optional<Double> tokens =
        row.decimal(
            SheetColumn.PROMPT_TOKENS_PER_SECOND, ConfigurationLimits.PROMPT_TOKENS_PER_SECOND);
    Optional<Integer> open =
        row.integer(SheetColumn.OPEN_REQUESTS, ConfigurationLimits.OPEN_REQUESTS);
    if (faults.count() == faultsBefore
        && weight.isEmpty()
        && priority.isEmpty()
        && requests.isEmpty()
        && tokens.isEmpty()
        && open.isEmpty()) {
      row.fault(Kind.NOTHING_TO_CHANGE, SheetColumn.WEIGHT, "");
    }
    if (customer.isPresent()) {
      add(
          row,
          new CustomerLine(row.line(), customer.get(), weight, priority, requests, tokens, open));
    }
  }

  private void add(SheetRow row, CustomerLine line) {
    if (!seenCustomers.add(line.customer())) {
      row.fault(Kind.DUPLICATE_CUSTOMER, SheetColumn.NAME, line.customer().value());
    }
    customers.add(line);
  }

  private void readStop(SheetRow row) {
    dataLines++;
    row.requireEmpty(
        SheetColumn.WEIGHT,
        SheetColumn.PRIORITY,
        SheetColumn.REQUESTS_PER_SECOND,
        SheetColumn.PROMPT_TOKENS_PER_SECOND,
        SheetColumn.OPEN_REQUESTS);
    Optional<String> machine = row.name();
    Optional<Instant> from = row.time(SheetColumn.FROM);
    Optional<Instant> until = row.time(SheetColumn.UNTIL);
    if (machine.isEmpty() || from.isEmpty() || until.isEmpty()) {
      return;
    }
    if (!from.get().isBefore(until.get())) {
      row.fault(Kind.STOP_ENDS_BEFORE_IT_BEGINS, SheetColumn.UNTIL, row.cell(SheetColumn.UNTIL));
    } else if (Duration.between(from.get(), until.get()).compareTo(MAXIMUM_STOP_DURATION) > 0) {
      row.fault(Kind.STOP_TOO_LONG, SheetColumn.UNTIL, row.cell(SheetColumn.UNTIL));
    } else {
      stops.add(new StopLine(row.line(), new PlannedStop(machine.get(), from.get(), until.get())));
    }
  }

  /** Returns the stops, or none if there are too many: the later checks compare all pairs. */
  private ImmutableList<StopLine> stopsWithinLimit() {
    ImmutableList<StopLine> all = stops.build();
    if (all.size() <= ConfigurationLimits.MAXIMUM_STOPS) {
      return all;
    }
    faults.add(
        Kind.TOO_MANY_STOPS,
        all.get(ConfigurationLimits.MAXIMUM_STOPS).line(),
        "",
        all.size() + ", at most " + ConfigurationLimits.MAXIMUM_STOPS);
    return ImmutableList.of();
  }

  private void readEnd(SheetRow row) {
    endSeen = true;
    if (!row.cell(SheetColumn.NAME).equals(Integer.toString(dataLines))) {
      row.fault(
          Kind.WRONG_LINE_COUNT,
          SheetColumn.NAME,
          row.cell(SheetColumn.NAME) + " instead of " + dataLines);
    }
    row.requireEmpty(
        SheetColumn.WEIGHT,
        SheetColumn.PRIORITY,
        SheetColumn.REQUESTS_PER_SECOND,
        SheetColumn.PROMPT_TOKENS_PER_SECOND,
        SheetColumn.OPEN_REQUESTS,
        SheetColumn.FROM,
        SheetColumn.UNTIL);
  }
}
