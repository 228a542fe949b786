package dev.apricotmill.node.matrix;

import com.google.common.collect.ImmutableSet;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Reads the cells that are listed as known failures, one in each line that starts with {@code
 * cell}.
 */
final class KnownRed {

  private static final String PREFIX = "cell ";
  private static final Path FILE = Path.of("..", "KNOWN-RED.txt");

  private KnownRed() {}

  static ImmutableSet<String> read() {
    if (!Files.exists(FILE)) {
      return ImmutableSet.of();
    }
    try (var lines = Files.lines(FILE)) {
      return lines
          .filter(line -> line.startsWith(PREFIX))
          .map(line -> line.substring(PREFIX.length()).split(" ", 2)[0])
          .collect(ImmutableSet.toImmutableSet());
    } catch (IOException unreadable) {
      throw new UncheckedIOException(unreadable);
    }
  }
}
