package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** The platform's store: objects by kind and name, lists in pages, watches, and a history. */
final class Store implements AutoCloseable {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int PAGE_ITEMS = 500;
  private static final int PAGE_BYTES = 1 << 20;
  private static final long HISTORY_MILLIS = 20_000;

  record Stored(long created, long revision, JsonNode spec, int bytes) {}

  private record Event(long revision, long atMillis, String kind, ObjectNode json) {}

  private final Map<String, TreeMap<String, Stored>> kinds = new HashMap<>();
  private final List<Event> history = new ArrayList<>();
  private final HttpServer server;
  private final ExecutorService threads =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(task, "store");
            thread.setDaemon(true);
            return thread;
          });
  private long revision = 1;
  private long oldestWatchable = 1;
  private long largestWatchBytes;
  private long era = 1;
  private volatile boolean down;

  /** What the store held at a moment. */
  record Copy(Map<String, TreeMap<String, Stored>> kinds, long revision) {}

  Store() throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 256);
    server.setExecutor(threads);
    server.createContext("/objects/", this::handle);
    server.start();
  }

  int port() {
    return server.getAddress().getPort();
  }

  /** Returns the size of the largest response to a watch. */
  synchronized long largestWatchBytes() {
    return largestWatchBytes;
  }

  /** Writes an object as the operator or a replica does, and returns its revision. */
  synchronized long put(String kind, String name, JsonNode spec) {
    TreeMap<String, Stored> objects = kinds.computeIfAbsent(kind, key -> new TreeMap<>());
    Stored before = objects.get(name);
    if (before != null && before.spec().equals(spec)) {
      return before.revision();
    }
    long now = ++revision;
    Stored stored =
        new Stored(before == null ? now : before.created(), now, spec, spec.toString().length());
    objects.put(name, stored);
    record(kind, json(name, stored), false);
    return now;
  }

  synchronized void delete(String kind, String name) {
    Stored before = kinds.computeIfAbsent(kind, key -> new TreeMap<>()).remove(name);
    if (before != null) {
      long now = ++revision;
      record(kind, json(name, new Stored(before.created(), now, before.spec(), 0)), true);
    }
  }

  synchronized Copy copy() {
    Map<String, TreeMap<String, Stored>> copied = new HashMap<>();
    kinds.forEach((kind, objects) -> copied.put(kind, new TreeMap<>(objects)));
    return new Copy(copied, revision);
  }

  /** Answers nothing but 503 from now on, to anyone. */
  void goDown() {
    down = true;
  }

  /** Comes back from a copy, with the next era and without a history. */
  synchronized void restore(Copy copy) {
    kinds.clear();
    kinds.putAll(copy.kinds());
    revision = copy.revision();
    history.clear();
    oldestWatchable = revision;
    era++;
    down = false;
    notifyAll();
  }

  private void record(String kind, ObjectNode object, boolean deleted) {
    ObjectNode event = JSON.createObjectNode();
    event.set("object", object);
    event.put("deleted", deleted);
    history.add(new Event(revision, now(), kind, event));
    while (!history.isEmpty() && now() - history.get(0).atMillis() > HISTORY_MILLIS) {
      oldestWatchable = history.remove(0).revision();
    }
    notifyAll();
  }

  private static ObjectNode json(String name, Stored stored) {
    ObjectNode object = JSON.createObjectNode();
    ObjectNode metadata = object.putObject("metadata");
    metadata.put("name", name).put("revision", stored.revision());
    metadata.put("created_rev", stored.created()).put("deletion_pending", false);
    metadata.putArray("finalizers");
    object.set("spec", stored.spec());
    object.putObject("status");
    return object;
  }

  private void handle(HttpExchange exchange) throws IOException {
    try (exchange) {
      if (down) {
        answer(exchange, 503, null);
        return;
      }
      String[] path = exchange.getRequestURI().getRawPath().split("/");
      String kind = decode(path[2]);
      String name = path.length > 3 ? decode(path[3]) : "";
      Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
      byte[] body = exchange.getRequestBody().readAllBytes();
      switch (exchange.getRequestMethod()) {
        case "GET" -> read(exchange, kind, name, query);
        case "POST" -> write(exchange, kind, JSON.readTree(body), true, "");
        case "PUT" -> write(exchange, kind, JSON.readTree(body), false, name);
        default -> remove(exchange, kind, name, query);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void read(HttpExchange exchange, String kind, String name, Map<String, String> query)
      throws IOException, InterruptedException {
    if (!name.isEmpty()) {
      ObjectNode found;
      synchronized (this) {
        Stored stored = kinds.getOrDefault(kind, new TreeMap<>()).get(name);
        found = stored == null ? null : json(name, stored);
      }
      answer(exchange, found == null ? 404 : 200, found);
    } else if (query.containsKey("watch")) {
      watch(exchange, kind, Long.parseLong(query.get("watch")), query);
    } else {
      answer(exchange, 200, list(kind, query.getOrDefault("after", "")));
    }
  }

  private synchronized ObjectNode list(String kind, String after) {
    ObjectNode page = JSON.createObjectNode();
    ArrayNode items = page.putArray("items");
    long bytes = 0;
    boolean hasMore = false;
    for (Map.Entry<String, Stored> entry :
        kinds.getOrDefault(kind, new TreeMap<>()).tailMap(after, false).entrySet()) {
      if (items.size() >= PAGE_ITEMS || bytes > PAGE_BYTES) {
        hasMore = true;
        break;
      }
      items.add(json(entry.getKey(), entry.getValue()));
      bytes += entry.getValue().bytes();
    }
    return page.put("has_more", hasMore).put("at", revision);
  }

  private void watch(HttpExchange exchange, String kind, long since, Map<String, String> query)
      throws IOException, InterruptedException {
    long end = now() + Math.min(30_000, Long.parseLong(query.getOrDefault("wait_ms", "0")));
    ObjectNode result = JSON.createObjectNode();
    ArrayNode events = result.putArray("events");
    synchronized (this) {
      while (true) {
        if (since < oldestWatchable || since > revision) {
          break;
        }
        history.stream()
            .filter(event -> event.revision() > since && event.kind().equals(kind))
            .forEach(event -> events.add(event.json()));
        if (!events.isEmpty() || now() >= end) {
          break;
        }
        wait(Math.max(1, end - now()));
      }
      if (since < oldestWatchable || since > revision) {
        result = null;
      } else {
        result.put("at", revision);
      }
    }
    if (result != null) {
      int bytes = result.toString().length();
      synchronized (this) {
        largestWatchBytes = Math.max(largestWatchBytes, bytes);
      }
    }
    answer(exchange, result == null ? 410 : 200, result);
  }

  private void write(
      HttpExchange exchange, String kind, JsonNode body, boolean create, String pathName)
      throws IOException {
    String name = create ? body.path("metadata").path("name").asText() : pathName;
    int status = 200;
    ObjectNode result;
    synchronized (this) {
      Stored before = kinds.getOrDefault(kind, new TreeMap<>()).get(name);
      JsonNode expected = body.path("metadata").path("revision");
      if (create ? before != null : before == null) {
        status = create ? 409 : 404;
      } else if (!create && expected.isNumber() && expected.asLong() != before.revision()) {
        status = 409;
      } else {
        put(kind, name, body.path("spec"));
        before = kinds.get(kind).get(name);
      }
      result = before == null ? null : json(name, before);
    }
    answer(exchange, status, result);
  }

  private void remove(HttpExchange exchange, String kind, String name, Map<String, String> query)
      throws IOException {
    int status = 200;
    ObjectNode result = null;
    synchronized (this) {
      Stored before = kinds.getOrDefault(kind, new TreeMap<>()).get(name);
      String expected = query.get("revision");
      if (before == null) {
        status = 404;
      } else if (expected != null && Long.parseLong(expected) != before.revision()) {
        status = 409;
        result = json(name, before);
      } else {
        delete(kind, name);
        result = json(name, before);
      }
    }
    answer(exchange, status, result);
  }

  private void answer(HttpExchange exchange, int status, ObjectNode json) throws IOException {
    byte[] body = (json == null ? "{}" : json.toString()).getBytes(StandardCharsets.UTF_8);
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    synchronized (this) {
      exchange.getResponseHeaders().set("Store-Era", Long.toString(era));
    }
    exchange.sendResponseHeaders(status, body.length);
    exchange.getResponseBody().write(body);
  }

  private static Map<String, String> query(String raw) {
    Map<String, String> query = new HashMap<>();
    if (raw != null) {
      for (String part : raw.split("&")) {
        int equals = part.indexOf('=');
        query.put(part.substring(0, equals), decode(part.substring(equals + 1)));
      }
    }
    return query;
  }

  private static String decode(String text) {
    return URLDecoder.decode(text, StandardCharsets.UTF_8);
  }

  private static long now() {
    return System.nanoTime() / 1_000_000;
  }

  @Override
  public void close() {
    server.stop(0);
    threads.shutdownNow();
  }
}
