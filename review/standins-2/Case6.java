import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** An entry of another writer that cannot be read, then replicas that leave, then a restart. */
final class Case6 {

  private static final double DRAIN_SECONDS = 2.0;
  private static final double RECOVERY_SECONDS = 12.0;

  /** Tells a broken rule from a failure of this program, for which the runtime's code is 1. */
  private static final int BROKEN = 10;

  private Case6() {}

  public static void main(String[] arguments) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Path folder = Files.createTempDirectory("review-6-");
    int exit = 2;
    List<Node> nodes = new ArrayList<>();
    try (Record record = new Record(Path.of(arguments[0]));
        Store store = new Store("127.0.0.1")) {
      try {
        exit = play(record, store, folder, nodes, trouble);
      } finally {
        nodes.forEach(Node::close);
      }
      record.line("exit %d", exit);
    }
    System.exit(exit == 1 ? BROKEN : exit);
  }

  private static int play(
      Record record, Store store, Path folder, List<Node> nodes, boolean trouble)
      throws Exception {
    store.put("config", "main", Ops.configuration());
    Replica first = new Replica("127.0.0.1", "i-first", Ops.SERVICE, "z-a", store, record);
    Replica second = new Replica("127.0.0.1", "i-second", Ops.SERVICE, "z-a", store, record);
    Replica third = new Replica("127.0.0.1", "i-third", Ops.SERVICE, "z-a", store, record);
    Node.Ports ports = Node.Ports.free();
    for (int i = 0; i < 2; i++) {
      Node node =
          new Node(folder, "edge-" + (i + 1), "127.0.0." + (11 + i), "z-a", ports, store.address());
      nodes.add(node);
      node.start();
    }
    for (Node node : nodes) {
      if (!node.awaitReady(20_000)) {
        record.line("%s is not ready: the case cannot run", node.name);
        return 2;
      }
    }
    Client client = new Client(record);
    int servedBefore = 0;
    for (int i = 0; i < 20; i++) {
      servedBefore += ask(client, nodes.get(i % 2)) == 200 ? 1 : 0;
      Thread.sleep(50);
    }
    record.line("served before: %d of 20", servedBefore);
    if (servedBefore < 20) {
      return 2;
    }

    if (trouble) {
      store.put("servers", "i-other", unreadable());
      record.line("another writer's entry i-other is in the store");
    }
    Thread.sleep(4000);

    // A planned shutdown: the replica reports that it is leaving and goes on serving.
    Replica leaving =
        Stream.of(first, second, third)
            .max(Comparator.comparingInt(replica -> replica.runs.size()))
            .orElseThrow();
    leaving.drain();
    double acknowledged = record.seconds();
    record.line("the store has acknowledged that %s is draining", leaving.id);
    int sent = 0;
    while (record.seconds() < acknowledged + DRAIN_SECONDS + 4) {
      ask(client, nodes.get(sent++ % 2));
      Thread.sleep(100);
    }
    long late =
        leaving.runs.stream().filter(run -> run.at() > acknowledged + DRAIN_SECONDS).count();
    record.line(
        "DRAIN: %d requests reached %s later than drain_ms after the acknowledgement",
        late, leaving.id);

    // The final fault: all processes are killed, and are started again.
    for (Node node : nodes) {
      node.kill();
    }
    Thread.sleep(1000);
    for (Node node : nodes) {
      node.start();
    }
    double back = record.seconds();
    record.line("all processes were killed and are back");
    Thread.sleep((long) (RECOVERY_SECONDS * 1000) + 500);
    int servedAfter = 0;
    for (int i = 0; i < 40; i++) {
      servedAfter += ask(client, nodes.get(i % 2)) == 200 ? 1 : 0;
      Thread.sleep(50);
    }
    record.line(
        "RECOVER: %d of 40 requests are served %.1f s after the processes are back; ready: %s %s",
        servedAfter, record.seconds() - back, nodes.get(0).isReady(), nodes.get(1).isReady());
    first.close();
    second.close();
    third.close();
    return late > 0 || servedAfter < 10 ? 1 : 0;
  }

  private static int ask(Client client, Node node) {
    return client.send(node, Client.newAttempt(), "GET", Ops.HOST, "/state/1", null, 1500);
  }

  /** Valid JSON of 60 KB, in which the content of a file stands where a field's name belongs. */
  private static ObjectNode unreadable() {
    return Store.JSON.createObjectNode().put("bm90IGFuIGVudHJ5".repeat(3750), "");
  }
}
