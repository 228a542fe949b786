package review3;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.BooleanSupplier;

/** A small HTTP/1.1 server and client on blocking sockets, one thread a connection. */
final class Http {

  private Http() {}

  /** A request or a response; the names of headers are in lower case. */
  record Message(String start, Map<String, String> headers, byte[] body, boolean whole) {

    String method() {
      return start.split(" ")[0];
    }

    String path() {
      return start.split(" ")[1];
    }

    int status() {
      return Integer.parseInt(start.split(" ")[1]);
    }

    String header(String name) {
      return headers.get(name.toLowerCase(Locale.ROOT));
    }

    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }
  }

  /** Serves one request; returns false if the connection ends. */
  interface Handler {
    boolean handle(Message request, Socket socket) throws IOException, InterruptedException;
  }

  static ServerSocket serve(String host, Handler handler) throws IOException {
    return serve(host, handler, () -> true, () -> {});
  }

  /** Serves the connections that {@code admit} accepts, and resets the others. */
  static ServerSocket serve(String host, Handler handler, BooleanSupplier admit, Runnable onClosed)
      throws IOException {
    ServerSocket server = new ServerSocket(0, 512, InetAddress.getByName(host));
    thread(
        () -> {
          while (!server.isClosed()) {
            try {
              Socket socket = server.accept();
              thread(() -> serveConnection(socket, handler, admit, onClosed));
            } catch (IOException e) {
              return;
            }
          }
        });
    return server;
  }

  private static void serveConnection(
      Socket socket, Handler handler, BooleanSupplier admit, Runnable onClosed) {
    try (socket) {
      if (!admit.getAsBoolean()) {
        socket.setSoLinger(true, 0);
        return;
      }
      socket.setTcpNoDelay(true);
      InputStream in = new BufferedInputStream(socket.getInputStream());
      while (true) {
        Message request = read(in, true);
        if (request == null || !handler.handle(request, socket)) {
          return;
        }
      }
    } catch (IOException | InterruptedException e) {
      // The other side has left.
    } finally {
      onClosed.run();
    }
  }

  static Thread thread(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  /** Reads a message; null if the connection ends before one. */
  static Message read(InputStream in, boolean request) throws IOException {
    String start = line(in);
    while (start != null && start.isEmpty()) {
      start = line(in);
    }
    if (start == null) {
      return null;
    }
    Map<String, String> headers = new LinkedHashMap<>();
    for (String line = line(in); ; line = line(in)) {
      if (line == null) {
        throw new IOException("ended within a head");
      }
      if (line.isEmpty()) {
        break;
      }
      int colon = line.indexOf(':');
      headers.put(
          line.substring(0, Math.max(0, colon)).toLowerCase(Locale.ROOT),
          line.substring(colon + 1).trim());
    }
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    boolean whole = true;
    if (headers.getOrDefault("transfer-encoding", "").contains("chunked")) {
      whole = readChunks(in, body);
    } else if (headers.containsKey("content-length")) {
      int length = Integer.parseInt(headers.get("content-length"));
      byte[] bytes = in.readNBytes(length);
      body.writeBytes(bytes);
      whole = bytes.length == length;
    } else if (!request) {
      body.writeBytes(in.readAllBytes());
    }
    return new Message(start, headers, body.toByteArray(), whole);
  }

  private static boolean readChunks(InputStream in, ByteArrayOutputStream body)
      throws IOException {
    while (true) {
      String size = line(in);
      if (size == null) {
        return false;
      }
      int length = Integer.parseInt(size.split(";")[0].trim(), 16);
      byte[] bytes;
      try {
        bytes = in.readNBytes(length);
      } catch (IOException e) {
        return false;
      }
      body.writeBytes(bytes);
      if (bytes.length < length || line(in) == null) {
        return false;
      }
      if (length == 0) {
        return true;
      }
    }
  }

  private static String line(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int next = in.read(); next != '\n'; next = in.read()) {
      if (next < 0) {
        return null;
      }
      line.write(next);
    }
    String text = line.toString(StandardCharsets.ISO_8859_1);
    return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
  }

  static byte[] head(String start, Map<String, String> headers) {
    StringBuilder out = new StringBuilder(start).append("\r\n");
    headers.forEach((name, value) -> out.append(name).append(": ").append(value).append("\r\n"));
    return out.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
  }

  static void respond(Socket socket, int status, Map<String, String> headers, byte[] body)
      throws IOException {
    Map<String, String> all = new LinkedHashMap<>(headers);
    all.put("Content-Length", Integer.toString(body.length));
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    out.writeBytes(head("HTTP/1.1 " + status + " X", all));
    out.writeBytes(body);
    socket.getOutputStream().write(out.toByteArray());
  }

  /** A connection of a client that is kept for many requests. */
  static final class Connection implements AutoCloseable {

    private final Socket socket = new Socket();
    private final InputStream in;

    Connection(String host, int port, int timeoutMillis) throws IOException {
      socket.setTcpNoDelay(true);
      socket.connect(new InetSocketAddress(host, port), timeoutMillis);
      socket.setSoTimeout(timeoutMillis);
      in = new BufferedInputStream(socket.getInputStream());
    }

    Socket socket() {
      return socket;
    }

    void send(String start, Map<String, String> headers, byte[] body) throws IOException {
      Map<String, String> all = new LinkedHashMap<>(headers);
      if (body.length > 0 || start.startsWith("POST")) {
        all.put("Content-Length", Integer.toString(body.length));
      }
      ByteArrayOutputStream out = new ByteArrayOutputStream();
      out.writeBytes(head(start, all));
      out.writeBytes(body);
      socket.getOutputStream().write(out.toByteArray());
    }

    /** Returns the next answer; null if the connection is closed or reset before its first byte. */
    Message receive() throws IOException {
      in.mark(1);
      try {
        if (in.read() < 0) {
          return null;
        }
      } catch (SocketException e) {
        return null;
      }
      in.reset();
      return read(in, false);
    }

    Message call(String start, Map<String, String> headers, byte[] body) throws IOException {
      send(start, headers, body);
      return receive();
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }
}
