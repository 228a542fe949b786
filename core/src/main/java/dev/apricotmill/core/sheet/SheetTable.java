package dev.apricotmill.core.sheet;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.csv.CsvFactory;
import com.fasterxml.jackson.dataformat.csv.CsvParser;
import com.google.common.collect.ImmutableList;
import dev.apricotmill.core.sheet.SheetFault.Kind;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Splits the text of a sheet into lines and cells, and maps the cells to the columns of the header.
 */
final class SheetTable {
  private final SheetFaults faults;
  private int currentLine = 1;
  private boolean incomplete;

  SheetTable(SheetFaults faults) {
    this.faults = faults;
  }

  /** A line before its cells are mapped to columns. */
  private record Line(int number, ImmutableList<String> cells) {}

  /** Returns all lines after the header that have as many cells as the header. */
  ImmutableList<SheetRow> rows(String text) {
    List<Line> lines = lines(text);
    if (lines.isEmpty()) {
      return ImmutableList.of();
    }
    int faultsBefore = faults.count();
    ImmutableList<SheetColumn> header = header(lines.get(0));
    if (faults.count() > faultsBefore) {
      incomplete = true;
      return ImmutableList.of();
    }
    ImmutableList.Builder<SheetRow> rows = ImmutableList.builder();
    for (Line line : lines.subList(1, lines.size())) {
      if (line.cells().size() == header.size()) {
        rows.add(new SheetRow(line.number(), header, line.cells(), faults));
      } else {
        faults.add(
            Kind.WRONG_CELL_COUNT,
            line.number(),
            "",
            line.cells().size() + " instead of " + header.size());
      }
    }
    return rows.build();
  }

  /** Returns whether lines were skipped because of a fault in the header or in the quotes. */
  boolean isIncomplete() {
    return incomplete;
  }

  private List<Line> lines(String text) {
    List<Line> lines = new ArrayList<>();
    CsvFactory factory =
        CsvFactory.builder()
            .enable(CsvParser.Feature.WRAP_AS_ARRAY)
            .enable(CsvParser.Feature.TRIM_SPACES)
            .enable(CsvParser.Feature.SKIP_EMPTY_LINES)
            .build();
    try (CsvParser parser = factory.createParser(text)) {
      parser.nextToken();
      while (parser.nextToken() == JsonToken.START_ARRAY) {
        lines.add(line(parser));
      }
    } catch (JsonProcessingException e) {
      // The parser finds an unclosed quote only at the end of the text; report the line it is in.
      faults.add(Kind.MALFORMED_QUOTES, currentLine, "", "");
      incomplete = true;
    } catch (IOException e) {
      throw new UncheckedIOException("could not read a sheet from memory", e);
    }
    return lines;
  }

  private Line line(CsvParser parser) throws IOException {
    currentLine = parser.currentLocation().getLineNr();
    ImmutableList.Builder<String> cells = ImmutableList.builder();
    while (parser.nextToken() != JsonToken.END_ARRAY) {
      cells.add(parser.getText());
    }
    return new Line(currentLine, cells.build());
  }

  private ImmutableList<SheetColumn> header(Line line) {
    String first = line.cells().get(0);
    if (line.cells().size() == 1 && (first.contains(";") || first.contains("\t"))) {
      faults.add(Kind.WRONG_SEPARATOR, line.number(), "", "");
      return ImmutableList.of();
    }
    List<SheetColumn> columns = new ArrayList<>();
    for (String name : line.cells()) {
      SheetColumn.ofHeader(name)
          .ifPresentOrElse(
              column -> addColumn(column, columns, line.number()),
              () -> faults.add(Kind.UNKNOWN_COLUMN, line.number(), name, ""));
    }
    for (SheetColumn column : SheetColumn.values()) {
      if (!columns.contains(column)) {
        faults.add(Kind.MISSING_COLUMN, line.number(), column.header(), "");
      }
    }
    return ImmutableList.copyOf(columns);
  }

  private void addColumn(SheetColumn column, List<SheetColumn> columns, int line) {
    if (columns.contains(column)) {
      faults.add(Kind.DUPLICATE_COLUMN, line, column.header(), "");
    }
    columns.add(column);
  }
}
