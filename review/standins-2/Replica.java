import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/** A stand-in of a replica: registers in the store, and answers each request that means it. */
class Replica implements AutoCloseable {

  /** A run of a request, with the time at which it began. */
  record Run(String attempt, String path, double at) {}

  final String id;
  final String service;
  final String zone;
  final ConcurrentLinkedQueue<Run> runs = new ConcurrentLinkedQueue<>();
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private final long born = System.currentTimeMillis();
  private final ServerSocket listener;
  private final Store store;
  protected final Record record;
  private volatile String state = "ready";
  private volatile boolean closed;
  private int sequence;

  Replica(String host, String id, String service, String zone, Store store, Record record)
      throws IOException {
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.store = store;
    this.record = record;
    listener = new ServerSocket(0, 256, InetAddress.getByName(host));
    report();
    Http.thread(id, this::accept);
    Http.thread(id + "-beat", this::beat);
  }

  String address() {
    return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
  }

  private void beat() {
    while (!closed && !state.equals("gone")) {
      try {
        Thread.sleep(1200);
      } catch (InterruptedException e) {
        return;
      }
      if (!closed && !state.equals("gone")) {
        report();
      }
    }
  }

  /** Writes the entry; the store has acknowledged it on return. */
  synchronized void report() {
    if (state.equals("gone")) {
      return;
    }
    ObjectNode entry = Store.JSON.createObjectNode();
    entry
        .put("service", service)
        .put("address", address())
        .put("zone", zone)
        .put("version", "v1")
        .put("slots", 6)
        .put("state", state)
        .put("cold_left_ms", 0)
        .put("seq", ++sequence)
        .put("born", born);
    store.put("servers", id, entry);
  }

  /** Reports that the replica is leaving; it still serves. */
  void drain() {
    state = "draining";
    report();
  }

  /** Removes the entry and ends the replica. */
  synchronized void leave() throws IOException {
    state = "gone";
    store.delete("servers", id);
    close();
  }

  private void accept() {
    while (!closed) {
      try {
        Socket socket = listener.accept();
        sockets.add(socket);
        Http.thread(id + "-connection", () -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
      OutputStream out = socket.getOutputStream();
      while (true) {
        Http.Message request = Http.read(in, false);
        if (request == null) {
          return;
        }
        String target = request.header("Apricotmill-Target-Instance");
        String attempt = request.header("Apricotmill-Attempt-Id");
        if (!target.isEmpty() && !target.equals(id)) {
          record.line("replica %s answers 421 to %s, which is for %s", id, attempt, target);
          Http.write(
              out,
              "HTTP/1.1 421 Misdirected Request",
              Http.headers(
                  "Apricotmill-Attempt-Id", attempt, "Apricotmill-Instance-Id", id,
                  "Content-Length", "0"),
              new byte[0]);
          continue;
        }
        runs.add(new Run(attempt, request.first().split(" ")[1], record.seconds()));
        record.line("replica %s runs %s", id, attempt);
        if (!answer(request, attempt, out)) {
          return;
        }
      }
    } catch (IOException e) {
      // The caller has closed the connection.
    } finally {
      sockets.remove(socket);
    }
  }

  /** Answers a request that runs; returns whether the connection stays open. */
  boolean answer(Http.Message request, String attempt, OutputStream out) throws IOException {
    byte[] body = ("answer of " + id + " to " + attempt).getBytes(StandardCharsets.UTF_8);
    Map<String, String> headers =
        Http.headers(
            "Apricotmill-Attempt-Id", attempt,
            "Apricotmill-Response-Seal", "seal." + id + "." + attempt,
            "Content-Type", "text/plain",
            "Content-Length", "" + body.length);
    Http.write(out, "HTTP/1.1 200 OK", headers, body);
    return true;
  }

  @Override
  public void close() throws IOException {
    closed = true;
    listener.close();
    for (Socket socket : sockets) {
      socket.close();
    }
  }
}
