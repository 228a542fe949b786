package dev.apricotmill.node.matrix;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** Counts the results of the cells and prints them by step. */
final class MatrixTable {

  private final ImmutableSet<String> knownRed;
  private final Map<Step, Row> rows = new EnumMap<>(Step.class);
  private final List<String> redLines = new CopyOnWriteArrayList<>();

  MatrixTable(ImmutableSet<String> knownRed) {
    this.knownRed = knownRed;
    for (Step step : Step.values()) {
      rows.put(step, new Row());
    }
  }

  private static final class Row {
    private final AtomicInteger passed = new AtomicInteger();
    private final AtomicInteger impossible = new AtomicInteger();
    private final AtomicInteger red = new AtomicInteger();
  }

  boolean isKnownRed(Cell cell) {
    return knownRed.contains(cell.name());
  }

  void recordPassed(Cell cell) {
    row(cell).passed.incrementAndGet();
  }

  void recordImpossible(Cell cell) {
    row(cell).impossible.incrementAndGet();
  }

  void recordRed(Cell cell, ImmutableList<Violation> violations) {
    row(cell).red.incrementAndGet();
    redLines.add(cell.name() + " " + violations);
  }

  void print() {
    StringBuilder text = new StringBuilder("\nFault matrix: cells by step\n");
    text.append(
        String.format("%-22s %6s %6s %12s %4s%n", "step", "run", "passed", "can't occur", "red"));
    for (Step step : Step.values()) {
      append(text, step.name(), rows.get(step));
    }
    redLines.forEach(line -> text.append("known red: ").append(line).append('\n'));
    System.out.print(text);
  }

  private static void append(StringBuilder text, String name, Row row) {
    int passed = row.passed.get();
    int red = row.red.get();
    text.append(
        String.format(
            "%-22s %6d %6d %12d %4d%n", name, passed + red, passed, row.impossible.get(), red));
  }

  private Row row(Cell cell) {
    Row row = rows.get(cell.step());
    if (row == null) {
      throw new IllegalStateException("no row for step " + cell.step() + " of cell " + cell.name());
    }
    return row;
  }
}
