package review3;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's metadata store, as PROTOCOL.md describes it. Loses nothing; is always up. */
final class Store {

  private record Event(String kind, long revision, Map<String, Object> object, boolean deleted) {}

  private static final int PAGE = 500;

  private final Map<String, TreeMap<String, Map<String, Object>>> kinds = new TreeMap<>();
  private final List<Event> events = new ArrayList<>();
  private final ServerSocket server;
  private long revision = 10;

  Store(String host) throws IOException {
    server = Http.serve(host, this::handle);
  }

  String address() {
    return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
  }

  /** Writes an object as the operator or a replica does, and returns its revision. */
  synchronized long put(String kind, String name, Object spec) {
    Map<String, Object> object = find(kind, name);
    revision++;
    Map<String, Object> metadata = new LinkedHashMap<>();
    metadata.put("name", name);
    metadata.put("revision", revision);
    metadata.put(
        "created_rev",
        object == null ? revision : Json.object(object.get("metadata")).get("created_rev"));
    metadata.put("finalizers", List.of());
    metadata.put("deletion_pending", false);
    Map<String, Object> changed = new LinkedHashMap<>();
    changed.put("metadata", metadata);
    changed.put("spec", spec);
    changed.put("status", Map.of());
    kinds.computeIfAbsent(kind, k -> new TreeMap<>()).put(name, changed);
    events.add(new Event(kind, revision, changed, false));
    notifyAll();
    return revision;
  }

  synchronized void delete(String kind, String name) {
    Map<String, Object> object = find(kind, name);
    if (object != null) {
      revision++;
      kinds.get(kind).remove(name);
      events.add(new Event(kind, revision, object, true));
      notifyAll();
    }
  }

  private Map<String, Object> find(String kind, String name) {
    return kinds.getOrDefault(kind, new TreeMap<>()).get(name);
  }

  private boolean handle(Http.Message request, Socket socket)
      throws IOException, InterruptedException {
    String[] target = request.path().split("\\?", 2);
    Map<String, String> query = new LinkedHashMap<>();
    if (target.length > 1) {
      for (String pair : target[1].split("&")) {
        String[] parts = pair.split("=", 2);
        query.put(parts[0], URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
      }
    }
    String[] path = target[0].split("/");
    String kind = path.length > 2 ? URLDecoder.decode(path[2], StandardCharsets.UTF_8) : "";
    String name = path.length > 3 ? URLDecoder.decode(path[3], StandardCharsets.UTF_8) : null;
    switch (request.method()) {
      case "GET" -> {
        if (name != null) {
          Map<String, Object> object;
          synchronized (this) {
            object = find(kind, name);
          }
          answer(socket, object == null ? 404 : 200, object == null ? Map.of() : object);
        } else if (query.containsKey("watch")) {
          watch(socket, kind, Long.parseLong(query.get("watch")), query);
        } else {
          list(socket, kind, query.getOrDefault("after", ""));
        }
      }
      case "POST", "PUT" -> write(socket, request, kind, name);
      case "DELETE" -> {
        int status;
        Map<String, Object> object;
        synchronized (this) {
          object = find(kind, name);
          status = object == null ? 404 : matches(query.get("revision"), object) ? 200 : 409;
          if (status == 200) {
            delete(kind, name);
          }
        }
        answer(socket, status, object == null ? Map.of() : object);
      }
      default -> answer(socket, 400, Map.of());
    }
    return true;
  }

  private static boolean matches(Object expected, Map<String, Object> object) {
    Object revision = Json.object(object.get("metadata")).get("revision");
    return expected == null || expected.toString().equals(revision.toString());
  }

  private void write(Socket socket, Http.Message request, String kind, String name)
      throws IOException {
    Map<String, Object> body = Json.object(Json.parse(request.text()));
    Map<String, Object> metadata = Json.object(body.get("metadata"));
    String key = name == null ? String.valueOf(metadata.get("name")) : name;
    int status;
    Map<String, Object> object;
    synchronized (this) {
      object = find(kind, key);
      boolean create = request.method().equals("POST");
      if (create) {
        status = object == null ? 200 : 409;
      } else {
        status =
            object == null ? 404 : matches(metadata.get("revision"), object) ? 200 : 409;
      }
      if (status == 200) {
        put(kind, key, body.get("spec"));
        object = find(kind, key);
      }
    }
    answer(socket, status, object == null ? Map.of() : object);
  }

  private void list(Socket socket, String kind, String after) throws IOException {
    Map<String, Object> result = new LinkedHashMap<>();
    synchronized (this) {
      List<Object> items = new ArrayList<>();
      boolean more = false;
      for (Map<String, Object> object :
          kinds.getOrDefault(kind, new TreeMap<>()).tailMap(after, false).values()) {
        if (items.size() == PAGE) {
          more = true;
          break;
        }
        items.add(object);
      }
      result.put("items", items);
      result.put("has_more", more);
      result.put("at", revision);
    }
    answer(socket, 200, result);
  }

  private void watch(Socket socket, String kind, long since, Map<String, String> query)
      throws IOException, InterruptedException {
    long end =
        System.nanoTime() + 1_000_000L * Long.parseLong(query.getOrDefault("wait_ms", "0"));
    Map<String, Object> result = new LinkedHashMap<>();
    synchronized (this) {
      List<Object> found = eventsSince(kind, since);
      for (long left = end - System.nanoTime();
          found.isEmpty() && left > 0;
          left = end - System.nanoTime()) {
        wait(left / 1_000_000 + 1);
        found = eventsSince(kind, since);
      }
      result.put("events", found);
      result.put("at", revision);
    }
    answer(socket, 200, result);
  }

  private List<Object> eventsSince(String kind, long since) {
    List<Object> found = new ArrayList<>();
    for (Event event : events) {
      if (event.kind().equals(kind) && event.revision() > since) {
        found.add(Map.of("object", event.object(), "deleted", event.deleted()));
      }
    }
    return found;
  }

  private static void answer(Socket socket, int status, Object body) throws IOException {
    Http.respond(
        socket,
        status,
        Map.of("Content-Type", "application/json"),
        Json.write(body).getBytes(StandardCharsets.UTF_8));
  }
}
