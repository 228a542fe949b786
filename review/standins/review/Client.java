package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** A client's connection to a node. */
final class Client implements AutoCloseable {

  /**
   * What a client got.
   *
   * @param status the status, 0 if no head came
   * @param complete whether the body came to its end
   * @param problem why it is not complete, empty otherwise
   */
  record Answer(
      int status, Map<String, String> headers, String body, boolean complete, String problem) {

    static Answer none(String problem) {
      return new Answer(0, Map.of(), "", false, problem);
    }

    boolean isWholeSuccess() {
      return complete && status / 100 == 2;
    }
  }

  private final Socket socket = new Socket();
  private final InputStream in;
  private final OutputStream out;

  Client(int port) throws IOException {
    socket.setTcpNoDelay(true);
    socket.connect(new InetSocketAddress(Ports.HOST, port), 1000);
    in = new BufferedInputStream(socket.getInputStream());
    out = socket.getOutputStream();
  }

  /** Sends a request without waiting for its answer. */
  void send(String method, String path, Map<String, String> headers, byte[] body)
      throws IOException {
    StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
    headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
    if (body.length > 0 || method.equals("POST")) {
      head.append("Content-Length: ").append(body.length).append("\r\n");
    }
    head.append("\r\n");
    out.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
    out.write(body);
    out.flush();
  }

  /** Reads one answer; {@code millis} bounds each wait for the next bytes. */
  Answer receive(int millis) {
    Map<String, String> headers = new LinkedHashMap<>();
    int status = 0;
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    try {
      socket.setSoTimeout(millis);
      String line = line();
      if (line == null) {
        return Answer.none("closed without an answer");
      }
      status = Integer.parseInt(line.split(" ")[1]);
      while (!(line = requiredLine()).isEmpty()) {
        int colon = line.indexOf(':');
        headers.put(
            line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
      }
      if ("chunked".equals(headers.get("transfer-encoding"))) {
        readChunks(body);
      } else {
        read(body, Integer.parseInt(headers.getOrDefault("content-length", "0")));
      }
      return new Answer(status, headers, text(body), true, "");
    } catch (SocketTimeoutException e) {
      return new Answer(status, headers, text(body), false, "nothing for " + millis + " ms");
    } catch (IOException | NumberFormatException e) {
      return new Answer(status, headers, text(body), false, String.valueOf(e.getMessage()));
    }
  }

  private void readChunks(ByteArrayOutputStream body) throws IOException {
    while (true) {
      int size = Integer.parseInt(requiredLine().strip(), 16);
      if (size == 0) {
        while (!requiredLine().isEmpty()) {
          continue;
        }
        return;
      }
      read(body, size);
      requiredLine();
    }
  }

  private void read(ByteArrayOutputStream body, int size) throws IOException {
    byte[] buffer = new byte[8192];
    int left = size;
    while (left > 0) {
      int count = in.read(buffer, 0, Math.min(left, buffer.length));
      if (count < 0) {
        throw new IOException("closed within the body");
      }
      body.write(buffer, 0, count);
      left -= count;
    }
  }

  private String requiredLine() throws IOException {
    String line = line();
    if (line == null) {
      throw new IOException("closed within the answer");
    }
    return line;
  }

  private String line() throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    int next;
    while ((next = in.read()) != '\n') {
      if (next < 0) {
        return null;
      }
      if (next != '\r') {
        line.write(next);
      }
    }
    return line.toString(StandardCharsets.ISO_8859_1);
  }

  private static String text(ByteArrayOutputStream body) {
    return body.toString(StandardCharsets.ISO_8859_1);
  }

  /** Sends one GET on a connection of its own; returns the status, 0 if there is no answer. */
  static int get(int port, String path, int millis) {
    try (Client client = new Client(port)) {
      client.send("GET", path, Map.of("Host", "probe"), new byte[0]);
      return client.receive(millis).status();
    } catch (IOException e) {
      return 0;
    }
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
