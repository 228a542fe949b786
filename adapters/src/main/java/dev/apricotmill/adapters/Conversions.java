package dev.apricotmill.adapters;

import java.util.Optional;
import java.util.function.Supplier;

/** Converts messages from other processes to records whose constructors validate the values. */
final class Conversions {

  private Conversions() {}

  /** Returns the converted value, or empty if a value is missing or out of range. */
  static <T> Optional<T> attempt(Supplier<T> conversion) {
    try {
      return Optional.of(conversion.get());
    } catch (IllegalArgumentException | NullPointerException malformed) {
      return Optional.empty();
    }
  }
}
