import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.locks.LockSupport;

/** Reads and writes HTTP/1.1 messages on plain sockets. */
final class Http {

  private static final long MAXIMUM_NANOS = 115_000_000_000L;

  private Http() {}

  /**
   * A message.
   *
   * @param first the request line or status line
   * @param headers by name, which ignores case
   * @param complete whether the body has its whole length
   */
  record Message(String first, Map<String, String> headers, byte[] body, boolean complete) {

    int status() {
      return Integer.parseInt(first.split(" ")[1]);
    }

    String header(String name) {
      return headers.getOrDefault(name, "");
    }
  }

  /** Reads a message; returns null if the connection ends before its first byte. */
  static Message read(BufferedInputStream in, boolean response) throws IOException {
    String first = line(in);
    if (first == null) {
      return null;
    }
    Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    while (true) {
      String next = line(in);
      if (next == null) {
        throw new EOFException("connection closed within a head");
      }
      if (next.isEmpty()) {
        break;
      }
      int colon = next.indexOf(':');
      headers.put(next.substring(0, colon).trim(), next.substring(colon + 1).trim());
    }
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    boolean complete = true;
    if (headers.getOrDefault("Transfer-Encoding", "").equalsIgnoreCase("chunked")) {
      complete = readChunks(in, body);
    } else if (headers.containsKey("Content-Length")) {
      int length = Integer.parseInt(headers.get("Content-Length"));
      byte[] bytes = in.readNBytes(length);
      body.write(bytes);
      complete = bytes.length == length;
    } else if (response) {
      body.write(in.readAllBytes());
    }
    return new Message(first, headers, body.toByteArray(), complete);
  }

  private static boolean readChunks(BufferedInputStream in, ByteArrayOutputStream body)
      throws IOException {
    while (true) {
      String size = line(in);
      if (size == null) {
        return false;
      }
      int length = Integer.parseInt(size.trim(), 16);
      byte[] bytes = in.readNBytes(length);
      body.write(bytes);
      if (bytes.length < length || line(in) == null) {
        return false;
      }
      if (length == 0) {
        return true;
      }
    }
  }

  private static String line(BufferedInputStream in) throws IOException {
    StringBuilder text = new StringBuilder();
    while (true) {
      int next = in.read();
      if (next < 0) {
        return null;
      }
      if (next == '\n') {
        int length = text.length();
        return length > 0 && text.charAt(length - 1) == '\r'
            ? text.substring(0, length - 1)
            : text.toString();
      }
      text.append((char) next);
    }
  }

  static void write(OutputStream out, String first, Map<String, String> headers, byte[] body)
      throws IOException {
    StringBuilder head = new StringBuilder(first).append("\r\n");
    headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
    byte[] bytes = head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
    byte[] message = new byte[bytes.length + body.length];
    System.arraycopy(bytes, 0, message, 0, bytes.length);
    System.arraycopy(body, 0, message, bytes.length, body.length);
    out.write(message);
    out.flush();
  }

  static Map<String, String> headers(String... namesAndValues) {
    Map<String, String> headers = new LinkedHashMap<>();
    for (int i = 0; i < namesAndValues.length; i += 2) {
      headers.put(namesAndValues[i], namesAndValues[i + 1]);
    }
    return headers;
  }

  /** Ends the script as one that could not run if it lasts too long. */
  static void startWatchdog() {
    thread(
        "watchdog",
        () -> {
          LockSupport.parkNanos(MAXIMUM_NANOS);
          System.exit(2);
        });
  }

  static Thread thread(String name, Runnable task) {
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }
}
