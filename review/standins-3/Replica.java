package review3;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/** A replica of a plain service. It answers each request with a sealed body of its own. */
final class Replica {

  /** Answers a request that has run; returns false if the connection ends. */
  interface Answer {
    boolean send(Replica replica, Http.Message request, Socket socket)
        throws IOException, InterruptedException;
  }

  /** Learns of each request that reaches a replica and bears its identifier. */
  interface Listener {
    void onRun(Replica replica, Http.Message request);
  }

  private final String id;
  private final String service;
  private final String zone;
  private final ServerSocket server;
  private final Listener listener;
  private final Answer answer;
  private final long born = System.currentTimeMillis();
  private final Size size;
  private final Semaphore slots;
  private final AtomicInteger held = new AtomicInteger();
  private final AtomicInteger connections = new AtomicInteger();

  /** What a replica runs at once, how many more requests it queues, and its connections. */
  record Size(int slots, int queue, int connections) {}

  Replica(
      String host,
      String id,
      String service,
      String zone,
      Size size,
      Listener listener,
      Answer answer)
      throws IOException {
    this.size = size;
    slots = new Semaphore(size.slots(), true);
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.listener = listener;
    this.answer = answer;
    server = Http.serve(host, this::handle, this::admit, connections::decrementAndGet);
  }

  String id() {
    return id;
  }

  String address() {
    return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
  }

  Map<String, Object> entry(String state) {
    Map<String, Object> entry = new LinkedHashMap<>();
    entry.put("service", service);
    entry.put("address", address());
    entry.put("zone", zone);
    entry.put("version", 1L);
    entry.put("slots", (long) size.slots());
    entry.put("state", state);
    entry.put("cold_left_ms", 0L);
    entry.put("seq", 1L);
    entry.put("born", born);
    return entry;
  }

  private boolean handle(Http.Message request, Socket socket)
      throws IOException, InterruptedException {
    String attempt = request.headers().getOrDefault("apricotmill-attempt-id", "");
    String target = request.header("apricotmill-target-instance");
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("Apricotmill-Attempt-Id", attempt);
    if (target != null && !target.equals(id)) {
      headers.put("Apricotmill-Not-Processed", "1");
      Http.respond(socket, 421, headers, new byte[0]);
      return true;
    }
    if (request.path().equals("/healthz")) {
      headers.put("Apricotmill-Instance-Id", id);
      Http.respond(socket, 200, headers, new byte[0]);
      return true;
    }
    if (held.incrementAndGet() > size.slots() + size.queue()) {
      held.decrementAndGet();
      headers.put("Apricotmill-Not-Processed", "1");
      Http.respond(socket, 503, headers, new byte[0]);
      return true;
    }
    try {
      slots.acquire();
      try {
        listener.onRun(this, request);
        return answer.send(this, request, socket);
      } finally {
        slots.release();
      }
    } finally {
      held.decrementAndGet();
    }
  }

  /** Returns whether the replica accepts one more connection. */
  private boolean admit() {
    return connections.incrementAndGet() <= size.connections();
  }

  private String load() {
    int running = Math.min(held.get(), size.slots());
    return running + "," + (held.get() - running) + "," + size.slots();
  }

  /** Returns the headers of an answer of this replica. */
  Map<String, String> headers(Http.Message request) {
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("Apricotmill-Attempt-Id", request.header("apricotmill-attempt-id"));
    headers.put("Apricotmill-Response-Seal", seal(request));
    headers.put("Apricotmill-Instance-Load", load());
    return headers;
  }

  String seal(Http.Message request) {
    return id + "." + request.header("apricotmill-attempt-id");
  }

  /** Answers as a sound replica does. */
  boolean answerSoundly(Http.Message request, Socket socket) throws IOException {
    Http.respond(socket, 200, headers(request), body(request));
    return true;
  }

  byte[] body(Http.Message request) {
    return ("body of " + id + " for " + request.header("apricotmill-attempt-id") + "\n")
        .getBytes(StandardCharsets.UTF_8);
  }
}
