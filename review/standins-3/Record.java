package review3;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run, with the time since the start. */
final class Record implements AutoCloseable {

  private final PrintWriter out;
  private final long start = System.nanoTime();

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file), true);
  }

  synchronized void write(String format, Object... values) {
    out.printf("%8.3f  %s%n", (System.nanoTime() - start) / 1e9, String.format(format, values));
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}
