package dev.apricotmill.cli;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** The example files of the documentation. */
public final class ExampleFiles {
  /** The configuration of a deployment that weighs short requests. */
  public static final String CONFIGURATION = read("examples/faroleiro.json");

  private ExampleFiles() {}

  /** Returns a file below {@code docs}. */
  public static String read(String name) {
    try {
      return Files.readString(Path.of("..", "docs").resolve(name));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
