package dev.apricotmill.adapters;

import com.google.common.primitives.Longs;
import java.util.Optional;

/** Converts object versions to and from HTTP entity tags. */
final class EntityTag {

  private EntityTag() {}

  static String format(long version) {
    return "\"" + version + "\"";
  }

  static Optional<Long> parse(String tag) {
    boolean quoted = tag.length() > 2 && tag.startsWith("\"") && tag.endsWith("\"");
    return quoted
        ? Optional.ofNullable(Longs.tryParse(tag.substring(1, tag.length() - 1)))
        : Optional.empty();
  }
}
