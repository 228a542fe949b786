package dev.apricotmill.cli.command;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;

/** Reads a file that an operator named, up to a limit. */
public final class InputFile {
  private InputFile() {}

  /** The answer to reading a file. */
  public sealed interface Result {
    /**
     * The file was read.
     *
     * @param bytes its content; one byte more than the limit if it is longer
     */
    @SuppressWarnings("ArrayRecordComponent")
    record Read(byte[] bytes) implements Result {}

    /**
     * The file can't be read.
     *
     * @param failure what to tell the operator
     */
    record Unreadable(Failure failure) implements Result {}
  }

  /** Reads at most one byte more than the limit, so that a longer file shows. */
  public static Result read(String name, int maximumBytes) {
    try (InputStream input = Files.newInputStream(Path.of(name))) {
      return new Result.Read(input.readNBytes(maximumBytes + 1));
    } catch (IOException | InvalidPathException e) {
      return new Result.Unreadable(
          Failure.Kind.UNREADABLE_FILE.report(
              "cannot read " + name + " (" + e.getClass().getSimpleName() + ")",
              "check the path and the right to read it"));
    }
  }
}
