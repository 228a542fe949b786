package dev.apricotmill.core.sheet;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.core.sheet.SheetFault.Kind;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Collects the faults of one sheet. */
final class SheetFaults {
  private final List<SheetFault> faults = new ArrayList<>();

  void add(Kind kind, int line, String column, String subject) {
    faults.add(new SheetFault(kind, line, column, subject));
  }

  int count() {
    return faults.size();
  }

  boolean isEmpty() {
    return faults.isEmpty();
  }

  /** Returns all faults, sorted by line. */
  ImmutableList<SheetFault> all() {
    return ImmutableList.sortedCopyOf(Comparator.comparingInt(SheetFault::line), faults);
  }
}
