package review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/** A small deployment on loopback: a store, replicas and nodes, all ended with it. */
final class Lab implements AutoCloseable {

  /** Above the longest time that a client waits for the next bytes of an answer. */
  private static final int ANSWER_MILLIS = 12_000;

  static final int EXIT_HELD = 0;

  /** Other than the code of a runtime that could not start; {@code run.sh} turns it into 1. */
  static final int EXIT_BROKEN = 10;

  static final int EXIT_NOT_RUN = 2;
  private static final long WATCHDOG_MILLIS = 110_000;

  final Store store = new Store();
  final Record record;
  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  private final Path folder = Files.createTempDirectory("review");
  private final List<AutoCloseable> parts = Collections.synchronizedList(new ArrayList<>());
  private final ExecutorService threads =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(task, "client");
            thread.setDaemon(true);
            return thread;
          });

  Lab(String recordFile) throws IOException {
    record = new Record(Path.of(recordFile));
    record.write("trouble: %s", trouble);
  }

  /** A check: returns an exit code. */
  @FunctionalInterface
  interface Check {
    int run(Lab lab) throws Exception;
  }

  /** Runs a check and ends the process with its exit code. */
  static void main(String[] arguments, Check check) {
    int code = EXIT_NOT_RUN;
    startWatchdog();
    try (Lab lab = new Lab(arguments[0])) {
      try {
        code = check.run(lab);
      } catch (Exception e) {
        lab.record.write("could not run: %s", e);
      }
      lab.record.write(
          "result: %s", code == EXIT_HELD ? "held" : code == EXIT_BROKEN ? "broken" : "not run");
    } catch (Exception e) {
      e.printStackTrace();
    }
    Runtime.getRuntime().halt(code);
  }

  /** Ends the processes and this one, as not run, if a script hangs. */
  private static void startWatchdog() {
    Thread thread =
        new Thread(
            () -> {
              try {
                Thread.sleep(WATCHDOG_MILLIS);
              } catch (InterruptedException e) {
                return;
              }
              System.exit(EXIT_NOT_RUN);
            });
    thread.setDaemon(true);
    thread.start();
  }

  Replica replica(String id, String service, Replica.Behaviour behaviour) throws IOException {
    Replica replica = new Replica(id, service, store, behaviour);
    parts.add(replica);
    return replica;
  }

  NodeProcess node(String name) throws IOException {
    return node(name, store.port());
  }

  NodeProcess node(String name, int storePort) throws IOException {
    NodeProcess node = new NodeProcess(name, folder, storePort);
    parts.add(node);
    node.start();
    return node;
  }

  void waitUntilReady(NodeProcess node) throws IOException, InterruptedException {
    if (!node.waitUntilReady(20_000)) {
      throw new IOException("a node was not ready within 20 s");
    }
  }

  <T> Future<T> async(Callable<T> task) {
    return threads.submit(task);
  }

  /** Sends a request on a connection of its own and returns its answer. */
  Client.Answer call(
      NodeProcess node, String method, String path, Map<String, String> headers, byte[] body) {
    String attempt = headers.get("Apricotmill-Attempt-Id");
    try (Client client = new Client(node.callerPort())) {
      record.write("sent      %s %s %s", attempt, method, path);
      client.send(method, path, headers, body);
      Client.Answer answer = client.receive(ANSWER_MILLIS);
      record.write(
          "answered  %s status %d, %d bytes, %s",
          attempt,
          answer.status(),
          answer.body().length(),
          answer.complete() ? "complete" : "incomplete: " + answer.problem());
      return answer;
    } catch (IOException e) {
      record.write("no answer %s %s", attempt, e.getMessage());
      return Client.Answer.none(String.valueOf(e.getMessage()));
    }
  }

  /** Copies the last lines of a node's log into the record. */
  void recordLog(NodeProcess node, String filter, int limit) throws IOException {
    List<String> lines =
        Files.readAllLines(node.log()).stream().filter(line -> line.contains(filter)).toList();
    lines.stream().skip(Math.max(0, lines.size() - limit)).forEach(l -> record.write("log %s", l));
  }

  @Override
  public void close() throws Exception {
    for (AutoCloseable part : List.copyOf(parts)) {
      part.close();
    }
    threads.shutdownNow();
    store.close();
    record.close();
    try (var files = Files.walk(folder)) {
      files.sorted(Collections.reverseOrder()).forEach(file -> file.toFile().delete());
    }
  }
}
