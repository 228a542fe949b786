package review3;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** A crowd of clients sends several requests ahead on each connection; do the processes live? */
final class Case11 {

  private static final int REPLICAS = 26;
  private static final int CONNECTIONS = 900;
  private static final int SENT_AHEAD = 4;
  private static final int WORK_MILLIS = 1000;

  /** `apricot-pool` of the site. */
  private static final Replica.Size POOL = new Replica.Size(11, 32, 364);

  private static final int ENDS_OF_RULE = 3;
  private static final long CROWD_MILLIS = 70_000;
  private static final byte[] ORDER = "hi".getBytes();

  private final Deployment deployment;
  private final AtomicBoolean over = new AtomicBoolean();
  private final AtomicLong crowdAttempts = new AtomicLong();
  private final AtomicInteger crowdAnswers = new AtomicInteger();
  private final AtomicInteger lost = new AtomicInteger();
  private final Set<String> ordinaryRuns = ConcurrentHashMap.newKeySet();

  private Case11(Deployment deployment) {
    this.deployment = deployment;
  }

  public static void main(String[] arguments) {
    Deployment.run(arguments, deployment -> new Case11(deployment).run());
  }

  private int run() throws IOException, InterruptedException {
    byte[] body = new byte[800];
    for (int i = 0; i < REPLICAS; i++) {
      deployment.addReplica(
          "i-" + i,
          POOL,
          (replica, request) -> {
            if (!request.header("apricotmill-attempt-id").startsWith("c")) {
              ordinaryRuns.add(request.header("apricotmill-attempt-id"));
              deployment.recordRun(replica, request);
            }
          },
          (replica, request, socket) -> {
            Thread.sleep(WORK_MILLIS);
            Http.respond(socket, 200, replica.headers(request), body);
            return true;
          });
    }
    Map<String, Object> configuration =
        new Configuration(7)
            .route("r-order", "/puxa403/", "non_idempotent", 5000, 1)
            .tenant("hule930", List.of("key-1"))
            .connections(POOL.connections())
            .spec();
    deployment.store().put("config", "main", configuration);
    Node[] nodes = {
      deployment.addNode("edge-lisboa-a-1", "lisboa-a"),
      deployment.addNode("edge-lisboa-b-1", "lisboa-b")
    };
    for (Node node : nodes) {
      node.start();
    }
    for (Node node : nodes) {
      if (!node.awaitReady()) {
        return Deployment.NOT_RUN;
      }
    }
    Deployment.awaitInTouch();
    int[] ends = new int[nodes.length];
    for (Node node : nodes) {
      Http.thread(() -> sendOrders(node));
      for (int i = 0; i < CONNECTIONS; i++) {
        Http.thread(() -> press(node));
      }
    }
    deployment.record().write(
        "crowd     %d connections at each node, %d requests ahead on each",
        CONNECTIONS, Deployment.hasTrouble() ? SENT_AHEAD : 1);
    long end = System.nanoTime() + CROWD_MILLIS * 1_000_000;
    while (System.nanoTime() < end && !allEnded(ends)) {
      for (int i = 0; i < nodes.length; i++) {
        if (!nodes[i].isAlive()) {
          ends[i]++;
          deployment.record().write(
              "ended     node %s, exit code %d, last line: %s",
              nodes[i].host(), nodes[i].exitCode(), nodes[i].lastLine());
          Thread.sleep(300);
          nodes[i].start();
        }
      }
      Thread.sleep(100);
    }
    over.set(true);
    deployment.record().write(
        "crowd     %d requests sent, %d answered", crowdAttempts.get(), crowdAnswers.get());
    deployment.record().write(
        "ordinary  %d orders ran whose connection ended without an answer", lost.get());
    deployment.record().write("ended     %d and %d times by itself", ends[0], ends[1]);
    return allEnded(ends) ? Deployment.BROKEN : Deployment.HELD;
  }

  private static boolean allEnded(int[] ends) {
    return ends[0] >= ENDS_OF_RULE && ends[1] >= ENDS_OF_RULE;
  }

  /** One connection of the crowd: sends requests ahead, reads their answers, and begins again. */
  private void press(Node node) {
    int ahead = Deployment.hasTrouble() ? SENT_AHEAD : 1;
    while (!over.get()) {
      try (Http.Connection connection = new Http.Connection(node.host(), node.port(), 8000)) {
        while (!over.get()) {
          for (int i = 0; i < ahead; i++) {
            String attempt = "c" + crowdAttempts.incrementAndGet();
            connection.send(
                "POST /puxa403/2f HTTP/1.1", deployment.headers(attempt, "key-1", 5000), ORDER);
          }
          for (int i = 0; i < ahead; i++) {
            if (connection.receive() == null) {
              throw new IOException("closed");
            }
            crowdAnswers.incrementAndGet();
          }
        }
      } catch (IOException e) {
        pause(200);
      }
    }
  }

  /** An ordinary client, which waits for each answer. */
  private void sendOrders(Node node) {
    while (!over.get()) {
      String attempt = deployment.newAttempt();
      try (Http.Connection connection = new Http.Connection(node.host(), node.port(), 5000)) {
        while (!over.get()) {
          attempt = deployment.newAttempt();
          deployment.record().write("sent      %s to %s: POST /puxa403/7", attempt, node.host());
          Http.Message answer =
              connection.call(
                  "POST /puxa403/7 HTTP/1.1", deployment.headers(attempt, "key-1", 5000), ORDER);
          if (answer == null) {
            if (ordinaryRuns.contains(attempt)) {
              lost.incrementAndGet();
            }
            throw new IOException("closed");
          }
          deployment.record().write(
              "answered  %s: %d seal %s",
              attempt, answer.status(), answer.header("apricotmill-response-seal"));
          pause(200);
        }
      } catch (IOException e) {
        if (!over.get()) {
          deployment.record().write("no answer %s (%s)", attempt, e.getMessage());
        }
        pause(200);
      }
    }
  }

  private static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
