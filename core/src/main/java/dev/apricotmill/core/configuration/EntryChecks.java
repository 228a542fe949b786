package dev.apricotmill.core.configuration;

import com.google.common.collect.Range;
import dev.apricotmill.core.configuration.ConfigurationFault.Kind;

/** Checks used for several kinds of entries. */
final class EntryChecks {
  private EntryChecks() {}

  static void checkName(String text, String pointer, FaultCollector faults) {
    if (!ConfigurationLimits.isName(text)) {
      faults.add(
          pointer,
          Kind.MALFORMED_VALUE,
          text + ", expected 1 to 64 letters, digits, dots, underscores or hyphens");
    }
  }

  static <T extends Comparable<T>> void checkRange(
      T value, Range<T> range, String pointer, FaultCollector faults) {
    if (!range.contains(value)) {
      faults.add(
          pointer,
          Kind.OUT_OF_RANGE,
          value + ", allowed is " + ConfigurationLimits.describe(range));
    }
  }
}
