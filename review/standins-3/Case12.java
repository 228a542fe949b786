package review3;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** A crowd of clients stops just short of the end of legal requests; do others get answers? */
final class Case12 {

  private static final int CONNECTIONS = 450;
  private static final int FIELDS = 90;
  private static final int ORDINARY_CLIENTS = 6;
  private static final int WORK_MILLIS = 43;
  private static final long LOST_OF_RULE = 3;
  private static final long CROWD_MILLIS = 30_000;

  private final Deployment deployment;
  private final AtomicBoolean over = new AtomicBoolean();
  private final AtomicInteger crowdRequests = new AtomicInteger();
  private final AtomicInteger sent = new AtomicInteger();
  private final AtomicInteger answered = new AtomicInteger();
  private final AtomicInteger refused = new AtomicInteger();
  private final AtomicInteger lost = new AtomicInteger();
  private final Set<String> runs = ConcurrentHashMap.newKeySet();

  private Case12(Deployment deployment) {
    this.deployment = deployment;
  }

  public static void main(String[] arguments) {
    Deployment.run(arguments, deployment -> new Case12(deployment).run());
  }

  private int run() throws IOException, InterruptedException {
    byte[] body = new byte[800];
    for (int i = 0; i < 3; i++) {
      deployment.addReplica(
          "i-" + i,
          (replica, request) -> {
            runs.add(request.header("apricotmill-attempt-id"));
            deployment.recordRun(replica, request);
          },
          (replica, request, socket) -> {
            Thread.sleep(WORK_MILLIS);
            Http.respond(socket, 200, replica.headers(request), body);
            return true;
          });
    }
    Map<String, Object> configuration =
        new Configuration(7)
            .route("r-order", "/puxa403/", "non_idempotent", 1500, 1)
            .tenant("hule930", List.of("key-1"))
            .spec();
    deployment.store().put("config", "main", configuration);
    Node node = deployment.addNode("edge-lisboa-a-1", "lisboa-a");
    node.start();
    if (!node.awaitReady()) {
      return Deployment.NOT_RUN;
    }
    Deployment.awaitInTouch();
    byte[] head = head();
    if (Deployment.hasTrouble()) {
      for (int i = 0; i < CONNECTIONS; i++) {
        Http.thread(() -> press(node, head));
      }
    }
    deployment.record().write(
        "crowd     %d connections, heads of %d bytes, bodies of 600 bytes that do not come",
        Deployment.hasTrouble() ? CONNECTIONS : 0, head.length);
    for (int i = 0; i < ORDINARY_CLIENTS; i++) {
      Http.thread(() -> sendOrders(node));
    }
    Thread.sleep(CROWD_MILLIS);
    over.set(true);
    Thread.sleep(2000);
    deployment.record().write("crowd     %d requests begun", crowdRequests.get());
    deployment.record().write(
        "ordinary  %d sent, %d answered by a replica, %d refused with 503 or others",
        sent.get(), answered.get(), refused.get());
    deployment.record().write(
        "ordinary  %d orders from kept connections ran, and their connection was closed without an"
            + " answer; process alive: %s",
        lost.get(), node.isAlive());
    if (answered.get() == 0) {
      return Deployment.NOT_RUN;
    }
    return lost.get() > LOST_OF_RULE ? Deployment.BROKEN : Deployment.HELD;
  }

  private byte[] head() {
    Map<String, String> headers = new LinkedHashMap<>(deployment.headers("c1", "key-1", 1500));
    headers.put("Content-Length", "600");
    for (int i = 0; i < FIELDS; i++) {
      headers.put("Field-" + i, "v".repeat(145));
    }
    return Http.head("POST /puxa403/2f HTTP/1.1", headers);
  }

  /** One connection of the crowd: sends a head within the limits, and waits to be closed. */
  private void press(Node node, byte[] head) {
    while (!over.get()) {
      try (Socket socket = new Socket(node.host(), node.port())) {
        socket.setSoTimeout(4000);
        crowdRequests.incrementAndGet();
        socket.getOutputStream().write(head);
        while (socket.getInputStream().read() >= 0) {
          // Reads the refusal, if there is one.
        }
      } catch (IOException e) {
        // Begins again.
      }
      pause(50);
    }
  }

  /** An ordinary client, which keeps its connection and waits for each answer. */
  private void sendOrders(Node node) {
    while (!over.get()) {
      String attempt = "";
      boolean kept = false;
      try (Http.Connection connection = new Http.Connection(node.host(), node.port(), 5000)) {
        while (!over.get()) {
          attempt = deployment.newAttempt();
          sent.incrementAndGet();
          deployment.record().write("sent      %s: POST /puxa403/7", attempt);
          Http.Message answer =
              connection.call(
                  "POST /puxa403/7 HTTP/1.1",
                  deployment.headers(attempt, "key-1", 1500),
                  "hi".getBytes(StandardCharsets.UTF_8));
          if (answer == null) {
            deployment.record().write(
                "closed    %s without an answer, it %s, connection %s",
                attempt, runs.contains(attempt) ? "has run" : "has not run", kept ? "kept" : "new");
            if (kept && runs.contains(attempt)) {
              lost.incrementAndGet();
            }
            break;
          }
          deployment.record().write(
              "answered  %s: %d seal %s",
              attempt, answer.status(), answer.header("apricotmill-response-seal"));
          (answer.status() == 200 ? answered : refused).incrementAndGet();
          if ("close".equals(answer.header("connection"))) {
            break;
          }
          kept = true;
          pause(100);
        }
      } catch (IOException e) {
        deployment.record().write("no answer %s (%s)", attempt, e.getMessage());
      }
      pause(50);
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
