package review3;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** The operator takes the keys of all tenants away, one after the other; do they still run? */
final class Case15 {

  private static final int TENANTS = 3;
  private static final long GAP_MILLIS = 400;
  private static final long REVOKE_MILLIS = 5000;

  private Case15() {}

  public static void main(String[] arguments) {
    Deployment.run(arguments, Case15::run);
  }

  private static int run(Deployment deployment) throws IOException, InterruptedException {
    Set<String> runs = ConcurrentHashMap.newKeySet();
    for (int i = 0; i < 2; i++) {
      deployment.addReplica(
          "i-" + i,
          (replica, request) -> {
            deployment.recordRun(replica, request);
            runs.add(request.header("apricotmill-attempt-id"));
          },
          Replica::answerSoundly);
    }
    deployment.store().put("config", "main", configuration(7, 0).spec());
    Node node = deployment.addNode("edge-lisboa-a-1", "lisboa-a");
    node.start();
    if (!node.awaitReady()) {
      return Deployment.NOT_RUN;
    }
    if (order(deployment, node, runs, "never-a-key") || !order(deployment, node, runs, key(0))) {
      return Deployment.NOT_RUN;
    }
    int left = Deployment.hasTrouble() ? 0 : 1;
    for (int revoked = 1; revoked <= TENANTS - left; revoked++) {
      deployment.store().put("config", "main", configuration(7 + 2L * revoked, revoked).spec());
      deployment.record().write("stored    version without %d of %d tenants", revoked, TENANTS);
      Thread.sleep(GAP_MILLIS);
    }
    Thread.sleep(REVOKE_MILLIS + 1000);
    int revokedRuns = 0;
    int unknownRuns = 0;
    for (int i = 0; i < 5; i++) {
      for (int tenant = 0; tenant < TENANTS - left; tenant++) {
        revokedRuns += order(deployment, node, runs, key(tenant)) ? 1 : 0;
      }
      unknownRuns += order(deployment, node, runs, "never-a-key") ? 1 : 0;
    }
    deployment.record().write(
        "replicas  ran %d orders with revoked keys, %d with a key that no configuration held",
        revokedRuns, unknownRuns);
    return revokedRuns > 0 || unknownRuns > 0 ? Deployment.BROKEN : Deployment.HELD;
  }

  private static String key(int tenant) {
    return "key-of-tenant-" + tenant;
  }

  private static Configuration configuration(long version, int withoutFirst) {
    Configuration configuration =
        new Configuration(version).route("r-order", "/puxa403/", "non_idempotent", 1500, 1);
    for (int tenant = withoutFirst; tenant < TENANTS; tenant++) {
      configuration.tenant("tenant-" + tenant, List.of(key(tenant)));
    }
    return configuration;
  }

  /** Sends an order and returns whether it has run. */
  private static boolean order(Deployment deployment, Node node, Set<String> runs, String key)
      throws IOException {
    String attempt = deployment.newAttempt();
    deployment.call(
        node, "POST", "/puxa403/7", attempt, key, "hi".getBytes(StandardCharsets.UTF_8));
    return runs.contains(attempt);
  }
}
