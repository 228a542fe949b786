package dev.apricotmill.core.sheet;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.dataformat.csv.CsvMapper;
import com.google.common.collect.ImmutableList;
import dev.apricotmill.core.configuration.Configuration;
import dev.apricotmill.core.configuration.Customer;
import dev.apricotmill.core.configuration.PlannedStop;
import java.math.BigDecimal;
import java.time.LocalDate;
import java.time.ZoneId;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/** Writes the current values that a sheet can set as a sheet, as a starting point for planners. */
public final class SheetWriter {
  private static final CsvMapper MAPPER = new CsvMapper();

  private final StringBuilder text = new StringBuilder();
  private final LocalDate day;
  private final ZoneId timeZone;
  private int dataLines;

  private SheetWriter(LocalDate day, ZoneId timeZone) {
    this.day = day;
    this.timeZone = timeZone;
  }

  /** Returns a sheet for a day, with all customers and the planned stops that begin on that day. */
  public static String render(Configuration configuration, LocalDate day, ZoneId timeZone) {
    SheetWriter writer = new SheetWriter(day, timeZone);
    writer.appendCells(Arrays.stream(SheetColumn.values()).map(SheetColumn::header).toList());
    configuration.customers().values().forEach(writer::appendCustomer);
    configuration.plannedStops().stream()
        .filter(stop -> stop.from().atZone(timeZone).toLocalDate().equals(day))
        .forEach(writer::appendStop);
    writer.appendLine("end", Integer.toString(writer.dataLines), Map.of());
    return writer.text.toString();
  }

  private void appendCustomer(Customer customer) {
    Map<SheetColumn, String> cells = new EnumMap<>(SheetColumn.class);
    cells.put(SheetColumn.WEIGHT, Integer.toString(customer.weight()));
    cells.put(SheetColumn.PRIORITY, customer.priority().name());
    cells.put(SheetColumn.REQUESTS_PER_SECOND, formatNumber(customer.limits().requestsPerSecond()));
    cells.put(
        SheetColumn.PROMPT_TOKENS_PER_SECOND,
        formatNumber(customer.limits().promptTokensPerSecond()));
    cells.put(SheetColumn.OPEN_REQUESTS, Integer.toString(customer.limits().openRequests()));
    appendLine("customer", customer.id().value(), cells);
    dataLines++;
  }

  private void appendStop(PlannedStop stop) {
    Map<SheetColumn, String> cells = new EnumMap<>(SheetColumn.class);
    cells.put(SheetColumn.FROM, stop.from().atZone(timeZone).toOffsetDateTime().toString());
    cells.put(SheetColumn.UNTIL, stop.until().atZone(timeZone).toOffsetDateTime().toString());
    appendLine("stop", stop.machine(), cells);
    dataLines++;
  }

  private void appendLine(String kind, String name, Map<SheetColumn, String> values) {
    Map<SheetColumn, String> cells = new EnumMap<>(SheetColumn.class);
    cells.putAll(values);
    cells.put(SheetColumn.DAY, day.toString());
    cells.put(SheetColumn.KIND, kind);
    cells.put(SheetColumn.NAME, name);
    appendCells(
        Arrays.stream(SheetColumn.values())
            .map(column -> cells.getOrDefault(column, ""))
            .collect(ImmutableList.toImmutableList()));
  }

  private void appendCells(List<String> cells) {
    try {
      text.append(MAPPER.writeValueAsString(cells));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("could not write the cells as CSV", e);
    }
  }

  /** Returns a number without exponent and trailing zeros. */
  private static String formatNumber(double value) {
    return BigDecimal.valueOf(value).stripTrailingZeros().toPlainString();
  }
}
