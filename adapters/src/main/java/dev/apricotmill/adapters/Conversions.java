package dev.apricotmill.adapters;

import java.util.Optional;
import java.util.function.Supplier;

/** Converts messages from outside, whose values may be out of the range that a record checks. */
final class Conversions {

  private Conversions() {}

  /** Returns what the conversion gives, empty if a value is missing or out of range. */
  static <T> Optional<T> attempt(Supplier<T> conversion) {
    try {
      return Optional.of(conversion.get());
    } catch (IllegalArgumentException | NullPointerException malformed) {
      return Optional.empty();
    }
  }
}
