import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** What was sent, answered and run, with the time since the start. */
final class Record implements AutoCloseable {

  private final PrintWriter out;
  private final long startNanos = System.nanoTime();

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
  }

  double seconds() {
    return (System.nanoTime() - startNanos) / 1e9;
  }

  synchronized void line(String format, Object... arguments) {
    out.printf("%8.3f  %s%n", seconds(), String.format(format, arguments));
    out.flush();
  }

  @Override
  public void close() {
    out.close();
  }
}
