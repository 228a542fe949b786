package dev.apricotmill.core.configuration;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.io.Resources;
import java.io.IOException;
import java.io.UncheckedIOException;

/** A valid configuration file, which tests change in one place. */
public final class ExampleFile {
  private ExampleFile() {}

  /** Returns the valid file. */
  public static String text() {
    try {
      return Resources.toString(Resources.getResource(ExampleFile.class, "example.json"), UTF_8);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns the file with the first occurrence of a text replaced. */
  public static String withReplaced(String replaced, String replacement) {
    String text = text();
    int start = text.indexOf(replaced);
    assertThat(start).isAtLeast(0);
    return text.substring(0, start) + replacement + text.substring(start + replaced.length());
  }
}
