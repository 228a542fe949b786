import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A stand-in of the platform's store: objects by kind and name, with watches and a history. A watch
 * returns about as much in one response as a list.
 */
final class Store implements AutoCloseable {

  static final ObjectMapper JSON = new ObjectMapper();
  private static final int PAGE_BYTES = 1 << 20;
  private static final int PAGE_ITEMS = 500;
  private static final long HISTORY_NANOS = 20_000_000_000L;

  private record Event(
      long revision, String kind, ObjectNode object, boolean deleted, int bytes, long at) {}

  private final ServerSocket listener;
  private final Map<String, TreeMap<String, ObjectNode>> kinds = new HashMap<>();
  private final List<Event> history = new ArrayList<>();
  private long revision = 100;
  private long compacted = 100;
  private volatile boolean closed;

  /** The addresses that are turned away with 503, as long as they are in this set. */
  final java.util.Set<String> refused = java.util.concurrent.ConcurrentHashMap.newKeySet();

  Store(String host) throws IOException {
    listener = new ServerSocket(0, 256, InetAddress.getByName(host));
    Http.thread("store", this::accept);
  }

  String address() {
    return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
  }

  /** Writes the spec of an object; returns when the write is acknowledged. */
  synchronized long put(String kind, String name, JsonNode spec) {
    ObjectNode old = kinds.computeIfAbsent(kind, key -> new TreeMap<>()).get(name);
    if (old != null && old.get("spec").equals(spec)) {
      return revision;
    }
    ObjectNode object = JSON.createObjectNode();
    revision++;
    object
        .putObject("metadata")
        .put("name", name)
        .put("revision", revision)
        .put("created_rev", old == null ? revision : old.at("/metadata/created_rev").asLong())
        .put("deletion_pending", false)
        .putArray("finalizers");
    object.set("spec", spec);
    object.putNull("status");
    kinds.get(kind).put(name, object);
    record(kind, object, false);
    return revision;
  }

  synchronized void delete(String kind, String name) {
    ObjectNode old = kinds.computeIfAbsent(kind, key -> new TreeMap<>()).remove(name);
    if (old != null) {
      revision++;
      ObjectNode last = old.deepCopy();
      ((ObjectNode) last.get("metadata")).put("revision", revision);
      record(kind, last, true);
    }
  }

  private void record(String kind, ObjectNode object, boolean deleted) {
    long now = System.nanoTime();
    history.add(
        new Event(revision, kind, object, deleted, object.toString().length(), now));
    while (!history.isEmpty() && now - history.get(0).at() > HISTORY_NANOS) {
      compacted = history.remove(0).revision();
    }
    notifyAll();
  }

  private void accept() {
    while (!closed) {
      try {
        Socket socket = listener.accept();
        Http.thread("store-connection", () -> serve(socket));
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
      String peer = socket.getInetAddress().getHostAddress();
      while (true) {
        Http.Message request = Http.read(in, false);
        if (request == null) {
          return;
        }
        if (refused.contains(peer)) {
          write(out, 503, null);
          continue;
        }
        handle(request, out);
      }
    } catch (IOException e) {
      // The caller has closed the connection.
    }
  }

  private void handle(Http.Message request, OutputStream out) throws IOException {
    String[] first = request.first().split(" ");
    String path = first[1];
    Map<String, String> query = new HashMap<>();
    int mark = path.indexOf('?');
    if (mark >= 0) {
      for (String part : path.substring(mark + 1).split("&")) {
        int equals = part.indexOf('=');
        query.put(part.substring(0, equals), decode(part.substring(equals + 1)));
      }
      path = path.substring(0, mark);
    }
    String[] segments = path.split("/");
    if (segments.length < 3 || !segments[1].equals("objects")) {
      write(out, 404, null);
      return;
    }
    String kind = decode(segments[2]);
    String name = segments.length > 3 ? decode(segments[3]) : null;
    switch (first[0]) {
      case "GET" -> {
        if (name != null) {
          ObjectNode object = get(kind, name);
          write(out, object == null ? 404 : 200, object);
        } else if (query.containsKey("watch")) {
          long wait = Math.min(30_000, Long.parseLong(query.getOrDefault("wait_ms", "0")));
          ObjectNode events = watch(kind, Long.parseLong(query.get("watch")), wait);
          write(out, events == null ? 410 : 200, events);
        } else {
          write(out, 200, list(kind, query.getOrDefault("after", "")));
        }
      }
      case "POST" -> {
        JsonNode body = JSON.readTree(request.body());
        String created = body.at("/metadata/name").asText();
        ObjectNode before = get(kind, created);
        if (before == null) {
          put(kind, created, body.path("spec"));
        }
        write(out, before == null ? 201 : 409, get(kind, created));
      }
      case "PUT" -> {
        JsonNode body = JSON.readTree(request.body());
        ObjectNode before = get(kind, name);
        JsonNode expected = body.at("/metadata/revision");
        if (before == null) {
          write(out, 404, null);
        } else if (expected.isNumber()
            && expected.asLong() != before.at("/metadata/revision").asLong()) {
          write(out, 409, before);
        } else {
          put(kind, name, body.path("spec"));
          write(out, 200, get(kind, name));
        }
      }
      case "DELETE" -> {
        ObjectNode before = get(kind, name);
        String expected = query.get("revision");
        if (before == null) {
          write(out, 404, null);
        } else if (expected != null
            && Long.parseLong(expected) != before.at("/metadata/revision").asLong()) {
          write(out, 409, before);
        } else {
          delete(kind, name);
          write(out, 200, before);
        }
      }
      default -> write(out, 405, null);
    }
  }

  private static String decode(String text) {
    return URLDecoder.decode(text, StandardCharsets.UTF_8);
  }

  synchronized ObjectNode get(String kind, String name) {
    return kinds.getOrDefault(kind, new TreeMap<>()).get(name);
  }

  private synchronized ObjectNode list(String kind, String after) {
    ObjectNode answer = JSON.createObjectNode();
    ArrayNode items = answer.putArray("items");
    boolean more = false;
    long bytes = 0;
    for (ObjectNode object :
        kinds.getOrDefault(kind, new TreeMap<>()).tailMap(after, false).values()) {
      if (items.size() >= PAGE_ITEMS || bytes > PAGE_BYTES) {
        more = true;
        break;
      }
      items.add(object);
      bytes += object.toString().length();
    }
    return answer.put("has_more", more).put("at", revision);
  }

  private synchronized ObjectNode watch(String kind, long from, long waitMillis) {
    long end = System.nanoTime() + waitMillis * 1_000_000;
    while (true) {
      if (from < compacted) {
        return null;
      }
      ObjectNode answer = JSON.createObjectNode();
      ArrayNode events = answer.putArray("events");
      long at = revision;
      long bytes = 0;
      for (Event event : history) {
        if (event.revision() > from && event.kind().equals(kind)) {
          if (bytes > PAGE_BYTES) {
            break;
          }
          at = event.revision();
          bytes += event.bytes();
          events.addObject().put("deleted", event.deleted()).set("object", event.object());
        }
      }
      if (bytes <= PAGE_BYTES) {
        at = revision;
      }
      long left = end - System.nanoTime();
      if (!events.isEmpty() || left <= 0 || closed) {
        return answer.put("at", at);
      }
      try {
        wait(Math.max(1, left / 1_000_000));
      } catch (InterruptedException e) {
        return null;
      }
    }
  }

  private static void write(OutputStream out, int status, ObjectNode body) throws IOException {
    byte[] bytes = body == null ? "{}".getBytes(StandardCharsets.UTF_8) : JSON.writeValueAsBytes(body);
    Http.write(
        out,
        "HTTP/1.1 " + status + " " + (status < 300 ? "OK" : "Error"),
        Map.of("Content-Type", "application/json", "Content-Length", "" + bytes.length),
        bytes);
  }

  @Override
  public synchronized void close() throws IOException {
    closed = true;
    notifyAll();
    listener.close();
  }
}
