package review3;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;

/** A store, replicas and nodes on loopback addresses, and what all of them record. */
final class Deployment implements AutoCloseable {

  static final int BROKEN = 1;
  static final int HELD = 0;
  static final int NOT_RUN = 2;

  /** `banner-ops` of the site. */
  private static final Replica.Size PLAIN_SERVICE = new Replica.Size(6, 24, 110);

  private static final long STABLE_WINDOW_MILLIS = 3000;
  private static final long MAX_RUN_MILLIS = 115_000;

  private final Path directory;
  private final Record record;
  private final Store store;
  private final List<Replica> replicas = new ArrayList<>();
  private final List<Node> nodes = new ArrayList<>();
  private final AtomicLong attempts = new AtomicLong(0x9c41d07be2a30000L);

  Deployment(Path recordFile) throws IOException {
    directory = Files.createTempDirectory("review-3");
    record = new Record(recordFile);
    store = new Store("127.0.0.1");
    // Also when this process is ended by a signal.
    Runtime.getRuntime().addShutdownHook(new Thread(() -> nodes.forEach(Node::close)));
  }

  /** Runs a case and ends the process with its result. */
  static void run(String[] arguments, Case task) {
    Http.thread(
        () -> {
          try {
            Thread.sleep(MAX_RUN_MILLIS);
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
          System.exit(NOT_RUN);
        });
    int result = NOT_RUN;
    try (Deployment deployment = new Deployment(Path.of(arguments[0]))) {
      result = task.run(deployment);
      deployment.record.write("result    %d (1: rule broken, 0: held, 2: not run)", result);
    } catch (Throwable e) {
      // An uncaught error would end the process with 1, which states that the rule was broken.
      e.printStackTrace();
    }
    System.exit(result);
  }

  /** The body of a case; returns its result. */
  interface Case {
    int run(Deployment deployment) throws IOException, InterruptedException;
  }

  static boolean hasTrouble() {
    return !"0".equals(System.getenv("TROUBLE"));
  }

  Record record() {
    return record;
  }

  Store store() {
    return store;
  }

  List<Node> nodes() {
    return nodes;
  }

  List<Replica> replicas() {
    return replicas;
  }

  String newAttempt() {
    return Long.toHexString(attempts.incrementAndGet());
  }

  /** Waits until a node has run for so long without a disruption that it is in touch. */
  static void awaitInTouch() throws InterruptedException {
    Thread.sleep(STABLE_WINDOW_MILLIS + 200);
  }

  Replica addReplica(String id, Replica.Listener listener, Replica.Answer answer)
      throws IOException {
    return addReplica(id, PLAIN_SERVICE, listener, answer);
  }

  Replica addReplica(
      String id, Replica.Size size, Replica.Listener listener, Replica.Answer answer)
      throws IOException {
    Replica replica =
        new Replica(
            "127.0.0.1",
            id,
            Configuration.SERVICE,
            "lisboa-a",
            size,
            listener,
            answer);
    replicas.add(replica);
    store.put("servers", id, replica.entry("ready"));
    return replica;
  }

  Node addNode(String name, String zone) throws IOException {
    Node node =
        new Node(directory, name, "127.0.0." + (10 + nodes.size()), zone, store.address());
    nodes.add(node);
    return node;
  }

  Map<String, String> headers(String attempt, String key, long deadlineMillis) {
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("Host", Configuration.HOST);
    headers.put("Apricotmill-Attempt-Id", attempt);
    headers.put("Apricotmill-Deadline-Ms", Long.toString(deadlineMillis));
    if (key != null) {
      headers.put("Authorization", "Bearer " + key);
    }
    return headers;
  }

  void recordRun(Replica replica, Http.Message request) {
    record.write(
        "run       %s at %s: %s tenant %s",
        request.header("apricotmill-attempt-id"),
        replica.id(),
        request.start(),
        request.header("apricotmill-tenant"));
  }

  /** Sends a request on a new connection; null if the connection ends without an answer. */
  Http.Message call(
      Node node, String method, String path, String attempt, String key, byte[] body)
      throws IOException {
    record.write("sent      %s to %s: %s %s key %s", attempt, node.host(), method, path, key);
    try (Http.Connection connection = new Http.Connection(node.host(), node.port(), 5000)) {
      Http.Message answer =
          connection.call(
              method + " " + path + " HTTP/1.1", headers(attempt, key, 1500), body);
      record.write("answered  %s", describe(attempt, answer));
      return answer;
    } catch (IOException e) {
      record.write("no answer %s (%s)", attempt, e);
      return null;
    }
  }

  static String describe(String attempt, Http.Message answer) {
    return answer == null
        ? attempt + ": connection closed"
        : attempt
            + ": "
            + answer.status()
            + " seal "
            + answer.header("apricotmill-response-seal")
            + " body \""
            + answer.text().trim()
            + "\""
            + (answer.whole() ? "" : " (broken off)");
  }

  @Override
  public void close() throws IOException {
    nodes.forEach(Node::close);
    record.close();
    try (Stream<Path> files = Files.list(directory)) {
      for (Path file : files.toList()) {
        Files.delete(file);
      }
    }
    Files.delete(directory);
  }
}
