package review;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** A replica: registers itself in the store, and answers requests as its behaviour says. */
final class Replica implements AutoCloseable {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int SLOTS = 11;
  private static final long HEARTBEAT_MILLIS = 1200;

  /** A request as it reached the replica. */
  record Received(String method, String path, Map<String, String> headers, byte[] body) {

    String attempt() {
      return headers.getOrDefault("apricotmill-attempt-id", "");
    }
  }

  /** What a replica does with a request; the connection is closed after an exception. */
  @FunctionalInterface
  interface Behaviour {
    void handle(Received request, Reply reply) throws IOException, InterruptedException;
  }

  /** Writes an answer. */
  static final class Reply {

    private final OutputStream out;
    private final String attempt;
    private final String id;

    Reply(OutputStream out, String attempt, String id) {
      this.out = out;
      this.attempt = attempt;
      this.id = id;
    }

    /** Writes bytes as they are. */
    void raw(byte[] bytes) throws IOException {
      out.write(bytes);
      out.flush();
    }

    /** Writes a head with the headers that each answer of a replica has. */
    void head(int status, String... more) throws IOException {
      StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " x\r\n");
      head.append("Apricotmill-Attempt-Id: ").append(attempt).append("\r\n");
      head.append("Apricotmill-Response-Seal: ").append(id).append('.').append(attempt);
      head.append("\r\n");
      for (String line : more) {
        head.append(line).append("\r\n");
      }
      raw(head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Writes a complete answer. */
    void whole(int status, String body, String... more) throws IOException {
      String[] lines = new String[more.length + 1];
      System.arraycopy(more, 0, lines, 0, more.length);
      lines[more.length] = "Content-Length: " + body.length();
      head(status, lines);
      raw(body.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Begins a stream of events. */
    void beginStream() throws IOException {
      head(200, "Content-Type: text/event-stream", "Transfer-Encoding: chunked");
    }

    void event(int number) throws IOException {
      String event = "id: " + number + "\ndata: event " + number + "\n\n";
      raw((Integer.toHexString(event.length()) + "\r\n" + event + "\r\n").getBytes());
    }

    void endStream() throws IOException {
      raw("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
    }
  }

  private final String id;
  private final String service;
  private final Store store;
  private final Behaviour behaviour;
  private final ServerSocket listener;
  private final AtomicInteger running = new AtomicInteger();
  private final long born = System.currentTimeMillis();
  private volatile String state = "ready";
  private volatile boolean closed;
  private int beats;

  Replica(String id, String service, Store store, Behaviour behaviour) throws IOException {
    this.id = id;
    this.service = service;
    this.store = store;
    this.behaviour = behaviour;
    listener = new ServerSocket(0, 256, InetAddress.getByName(Ports.HOST));
    daemon(this::accept);
    daemon(this::beat);
  }

  /** Reports that the replica is leaving. */
  void drain() {
    state = "draining";
    register();
  }

  private void beat() {
    while (!closed) {
      register();
      try {
        Thread.sleep(HEARTBEAT_MILLIS);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private synchronized void register() {
    ObjectNode entry = JSON.createObjectNode();
    entry.put("service", service).put("address", Ports.HOST + ":" + listener.getLocalPort());
    entry.put("zone", "zone-a").put("version", "1").put("slots", SLOTS).put("state", state);
    entry.put("cold_left_ms", 0).put("seq", ++beats).put("born", born);
    store.put("servers", id, entry);
  }

  private void accept() {
    while (!closed) {
      try {
        Socket socket = listener.accept();
        daemon(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket connection) {
    try (Socket socket = connection) {
      socket.setTcpNoDelay(true);
      InputStream in = new BufferedInputStream(socket.getInputStream());
      OutputStream out = socket.getOutputStream();
      Received request;
      while ((request = read(in)) != null) {
        if (request.path().equals("/order")) {
          order(out);
          continue;
        }
        running.incrementAndGet();
        try {
          behaviour.handle(request, new Reply(out, request.attempt(), id));
        } finally {
          running.decrementAndGet();
        }
      }
    } catch (IOException e) {
      // The peer has closed the connection.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void order(OutputStream out) throws IOException {
    String body = "{\"available_slots\":100000}";
    out.write(
        ("HTTP/1.1 200 x\r\nContent-Type: application/json\r\nContent-Length: "
                + body.length()
                + "\r\n\r\n"
                + body)
            .getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  private static Received read(InputStream in) throws IOException {
    String line = line(in);
    if (line == null) {
      return null;
    }
    String[] words = line.split(" ");
    Map<String, String> headers = new LinkedHashMap<>();
    while (!(line = String.valueOf(line(in))).isEmpty()) {
      int colon = line.indexOf(':');
      if (colon < 0) {
        return null;
      }
      headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
    }
    byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
    return new Received(words[0], words[1], headers, body);
  }

  private static String line(InputStream in) throws IOException {
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

  private static void daemon(Runnable task) {
    Thread thread = new Thread(task, "replica");
    thread.setDaemon(true);
    thread.start();
  }

  @Override
  public void close() throws IOException {
    closed = true;
    listener.close();
  }
}
