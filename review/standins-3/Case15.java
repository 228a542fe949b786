package review3;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Clients ask for paths without a route; does a replica run anything else for them? */
final class Case15 {

  private static final int REQUESTS = 10;

  private Case15() {}

  public static void main(String[] arguments) {
    Deployment.run(arguments, Case15::run);
  }

  private static int run(Deployment deployment) throws IOException, InterruptedException {
    Map<String, String> runs = new ConcurrentHashMap<>();
    Set<String> twice = ConcurrentHashMap.newKeySet();
    deployment.addReplica(
        "i-1",
        (replica, request) -> {
          deployment.recordRun(replica, request);
          String attempt = request.header("apricotmill-attempt-id");
          if (runs.put(attempt, request.method() + " " + request.path()) != null) {
            twice.add(attempt);
          }
        },
        Replica::answerSoundly);
    Map<String, Object> configuration =
        new Configuration(7)
            .route("r-order", "/puxa403/", "non_idempotent", 1500, 1)
            .route("r-read", "/cufi504/", "idempotent", 1500, 2)
            .tenant("hule930", List.of("key-1"))
            .spec();
    deployment.store().put("config", "main", configuration);
    Node node = deployment.addNode("edge-lisboa-a-1", "lisboa-a");
    node.start();
    if (!node.awaitReady()) {
      return Deployment.NOT_RUN;
    }
    int changed = 0;
    int sound = 0;
    for (int i = 0; i < REQUESTS; i++) {
      sound += send(deployment, node, runs, "/puxa403/" + i) == Outcome.AS_SENT ? 1 : 0;
      changed += send(deployment, node, runs, "/nowhere/" + i) == Outcome.CHANGED ? 1 : 0;
      if (Deployment.hasTrouble()) {
        changed +=
            send(deployment, node, runs, "//nowhere/puxa403/" + i) == Outcome.CHANGED ? 1 : 0;
      }
    }
    deployment.record().write(
        "replica   ran %d requests as they were sent, and %d with another path", sound, changed);
    return sound < REQUESTS
        ? Deployment.NOT_RUN
        : changed > 0 ? Deployment.BROKEN : Deployment.HELD;
  }

  private enum Outcome {
    NOT_RUN,
    AS_SENT,
    CHANGED
  }

  private static Outcome send(
      Deployment deployment, Node node, Map<String, String> runs, String path)
      throws IOException {
    String attempt = deployment.newAttempt();
    deployment.call(
        node, "POST", path, attempt, "key-1", "hi".getBytes(StandardCharsets.UTF_8));
    String run = runs.get(attempt);
    return run == null
        ? Outcome.NOT_RUN
        : run.equals("POST " + path) ? Outcome.AS_SENT : Outcome.CHANGED;
  }
}
