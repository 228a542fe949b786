package review3;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** A crowd of clients sends bodies in small chunks; do others get an answer before they leave? */
final class Case13 {

  private static final int CONNECTIONS = 400;
  private static final double CROWD_BYTES_PER_SECOND = 20e6;
  private static final int WRITE_BYTES = 6 * 1024;
  private static final int ORDINARY_CLIENTS = 10;
  private static final int WORK_MILLIS = 43;
  private static final long TIMEOUT_MILLIS = 800;
  private static final long SLACK_MILLIS = 500;
  private static final int DEADLINE_MILLIS = 1500;
  private static final int UNANSWERED_OF_RULE = 8;
  private static final long CROWD_MILLIS = 30_000;

  private final Deployment deployment;
  private final AtomicBoolean over = new AtomicBoolean();
  private final AtomicLong crowdBytes = new AtomicLong();
  private final AtomicInteger crowdRequests = new AtomicInteger();
  private final AtomicInteger sent = new AtomicInteger();
  private final AtomicInteger answered = new AtomicInteger();
  private final AtomicInteger unansweredAtTimeout = new AtomicInteger();
  private final AtomicInteger unansweredLater = new AtomicInteger();
  private final AtomicInteger givenUp = new AtomicInteger();
  private final AtomicInteger ranAfterwards = new AtomicInteger();
  private final Map<String, Long> leftAtNanos = new ConcurrentHashMap<>();
  private final long startNanos = System.nanoTime();

  private Case13(Deployment deployment) {
    this.deployment = deployment;
  }

  public static void main(String[] arguments) {
    Deployment.run(arguments, deployment -> new Case13(deployment).run());
  }

  private int run() throws IOException, InterruptedException {
    byte[] body = new byte[800];
    for (int i = 0; i < 3; i++) {
      deployment.addReplica(
          "i-" + i,
          (replica, request) -> {
            deployment.recordRun(replica, request);
            Long left = leftAtNanos.get(request.header("apricotmill-attempt-id"));
            if (left != null && System.nanoTime() - left > SLACK_MILLIS * 1_000_000) {
              ranAfterwards.incrementAndGet();
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
            .route("r-order", "/puxa403/", "non_idempotent", TIMEOUT_MILLIS, 1)
            .tenant("hule930", List.of("key-1"))
            .spec();
    deployment.store().put("config", "main", configuration);
    Node node = deployment.addNode("edge-lisboa-a-1", "lisboa-a");
    node.start();
    if (!node.awaitReady()) {
      return Deployment.NOT_RUN;
    }
    Deployment.awaitInTouch();
    if (Deployment.hasTrouble()) {
      for (int i = 0; i < CONNECTIONS; i++) {
        Http.thread(() -> press(node));
      }
    }
    deployment.record().write(
        "crowd     %d connections, chunks of one byte, %.0f bytes a second together",
        Deployment.hasTrouble() ? CONNECTIONS : 0, CROWD_BYTES_PER_SECOND);
    Thread.sleep(2000);
    for (int i = 0; i < ORDINARY_CLIENTS; i++) {
      Http.thread(() -> sendOrders(node));
    }
    Thread.sleep(CROWD_MILLIS);
    over.set(true);
    Thread.sleep(3000);
    deployment.record().write(
        "crowd     %d requests begun, %d bytes sent", crowdRequests.get(), crowdBytes.get());
    deployment.record().write(
        "ordinary  %d sent, %d answered, %d given up at their deadline; of these %d ran over half a"
            + " second later; process alive: %s",
        sent.get(), answered.get(), givenUp.get(), ranAfterwards.get(), node.isAlive());
    deployment.record().write(
        "ordinary  %d unanswered at timeout_ms, %d of them half a second later",
        unansweredAtTimeout.get(), unansweredLater.get());
    boolean broken =
        unansweredAtTimeout.get() >= UNANSWERED_OF_RULE
            && 2 * unansweredLater.get() > unansweredAtTimeout.get();
    return broken ? Deployment.BROKEN : Deployment.HELD;
  }

  /** One connection of the crowd: sends a body in chunks of one byte until it is closed. */
  private void press(Node node) {
    Map<String, String> headers = new LinkedHashMap<>(deployment.headers("c1", "key-1", 1500));
    headers.put("Transfer-Encoding", "chunked");
    byte[] head = Http.head("POST /puxa403/2f HTTP/1.1", headers);
    byte[] chunks =
        "1\r\nx\r\n".repeat(WRITE_BYTES / 6).getBytes(StandardCharsets.ISO_8859_1);
    while (!over.get()) {
      try (Socket socket = new Socket(node.host(), node.port())) {
        crowdRequests.incrementAndGet();
        socket.getOutputStream().write(head);
        while (!over.get()) {
          double allowed = (System.nanoTime() - startNanos) / 1e9 * CROWD_BYTES_PER_SECOND;
          if (crowdBytes.get() > allowed) {
            pause(2);
            continue;
          }
          crowdBytes.addAndGet(chunks.length);
          socket.getOutputStream().write(chunks);
        }
      } catch (IOException e) {
        // Begins again.
      }
      pause(50);
    }
  }

  /** An ordinary client, which keeps its connection, and leaves at its deadline. */
  private void sendOrders(Node node) {
    while (!over.get()) {
      String attempt = "";
      long sentNanos = System.nanoTime();
      try (Http.Connection connection =
          new Http.Connection(node.host(), node.port(), DEADLINE_MILLIS)) {
        while (!over.get()) {
          attempt = deployment.newAttempt();
          sentNanos = System.nanoTime();
          sent.incrementAndGet();
          deployment.record().write("sent      %s: POST /puxa403/7", attempt);
          Http.Message answer =
              connection.call(
                  "POST /puxa403/7 HTTP/1.1",
                  deployment.headers(attempt, "key-1", DEADLINE_MILLIS),
                  "hi".getBytes(StandardCharsets.UTF_8));
          if (answer == null) {
            throw new IOException("closed");
          }
          count(sentNanos);
          answered.incrementAndGet();
          deployment.record().write("answered  %s: %d", attempt, answer.status());
          if ("close".equals(answer.header("connection"))) {
            break;
          }
          attempt = "";
          pause(100);
        }
      } catch (IOException e) {
        if (!attempt.isEmpty()) {
          leftAtNanos.put(attempt, System.nanoTime());
          deployment.record().write("left      %s (%s)", attempt, e.getMessage());
          count(sentNanos);
          if (elapsedMillis(sentNanos) >= DEADLINE_MILLIS) {
            givenUp.incrementAndGet();
          }
        }
      }
      pause(50);
    }
  }

  private void count(long sentNanos) {
    if (elapsedMillis(sentNanos) > TIMEOUT_MILLIS) {
      unansweredAtTimeout.incrementAndGet();
    }
    if (elapsedMillis(sentNanos) > TIMEOUT_MILLIS + SLACK_MILLIS) {
      unansweredLater.incrementAndGet();
    }
  }

  private static long elapsedMillis(long sinceNanos) {
    return (System.nanoTime() - sinceNanos) / 1_000_000;
  }

  private static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
