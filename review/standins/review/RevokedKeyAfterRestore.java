package review;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** The store comes back from a copy older than a revocation, and a node starts again meanwhile. */
final class RevokedKeyAfterRestore {

  /** As on the users' day of a restored store: a copy 9 s old at its return, away for 2 s. */
  private static final long COPY_AGE_MILLIS = 9_000;

  private static final long AWAY_MILLIS = 2_000;
  private static final long REVOKE_MILLIS = 5_000;

  /** What the operator wrote is written again this long after the store's return. */
  private static final long REWRITE_MILLIS = 2_000;

  private static final long CALL_GAP_MILLIS = 100;

  private RevokedKeyAfterRestore() {}

  public static void main(String[] arguments) {
    Lab.main(arguments, RevokedKeyAfterRestore::run);
  }

  private static int run(Lab lab) throws Exception {
    Set<String> ran = ConcurrentHashMap.newKeySet();
    lab.replica(
        "ops-1",
        "ops",
        (request, reply) -> {
          ran.add(request.attempt());
          lab.record.write(
              "runs      %s for %s",
              request.attempt(), request.headers().getOrDefault("apricotmill-tenant", "nobody"));
          reply.whole(200, "done");
        });
    lab.store.put("config", "main", configuration(1, Configuration.KEY));
    NodeProcess node = lab.node("node-1");
    NodeProcess other = lab.node("node-2");
    lab.waitUntilReady(node);
    lab.waitUntilReady(other);
    Thread.sleep(4000);
    if (!call(lab, node, "before").isWholeSuccess()) {
      return Lab.EXIT_NOT_RUN;
    }

    Store.Copy copy = lab.store.copy();
    long copied = System.nanoTime();
    Thread.sleep(1500);
    lab.store.put("config", "main", configuration(2, "another-key"));
    long revoked = System.nanoTime();
    lab.record.write("operator  version 2 without the key acknowledged");
    Thread.sleep(COPY_AGE_MILLIS - AWAY_MILLIS - millisSince(copied));
    if (call(lab, node, "revoked-1").status() != 401
        || call(lab, other, "revoked-2").status() != 401) {
      return Lab.EXIT_NOT_RUN;
    }

    if (lab.trouble) {
      lab.record.write("store     away");
      lab.store.goDown();
      Thread.sleep(AWAY_MILLIS / 2);
      node.close();
      node.waitForEnd(2000);
      node.start();
      lab.record.write("node-1    killed and started again");
      Thread.sleep(AWAY_MILLIS / 2);
      lab.store.restore(copy);
      lab.record.write("store     back from a copy that is %d ms old", millisSince(copied));
    }
    int late = 0;
    long back = System.nanoTime();
    for (int i = 1; millisSince(back) < REWRITE_MILLIS; i++) {
      boolean counts = millisSince(revoked) > REVOKE_MILLIS;
      call(lab, node, "late-" + i);
      call(lab, other, "late-other-" + i);
      late += counts && ran.contains("late-" + i) ? 1 : 0;
      late += counts && ran.contains("late-other-" + i) ? 1 : 0;
      Thread.sleep(CALL_GAP_MILLIS);
    }
    lab.store.put("config", "main", configuration(2, "another-key"));
    lab.record.write("operator  version 2 written again");
    Thread.sleep(1000);
    call(lab, node, "after");
    lab.record.write(
        "requests sent over %d ms after the acknowledgement that ran with the key: %d",
        REVOKE_MILLIS, late);
    lab.recordLog(node, "\"configuration.taken", 5);
    return late == 0 ? Lab.EXIT_HELD : Lab.EXIT_BROKEN;
  }

  private static ObjectNode configuration(int version, String key) {
    Configuration configuration = new Configuration(version);
    configuration.route("orders", "non_idempotent", "ops", 800, 1);
    ObjectNode tenant = (ObjectNode) configuration.json().path("tenants").get(0);
    tenant.putArray("api_keys").add(key).add("key-that-stays");
    return configuration.json();
  }

  private static long millisSince(long nanos) {
    return (System.nanoTime() - nanos) / 1_000_000;
  }

  private static Client.Answer call(Lab lab, NodeProcess node, String attempt) {
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("Host", Configuration.HOST);
    headers.put("Apricotmill-Attempt-Id", attempt);
    headers.put("Apricotmill-Deadline-Ms", "1500");
    headers.put("Authorization", "Bearer " + Configuration.KEY);
    return lab.call(node, "POST", "/orders/x", headers, "order".getBytes());
  }
}
