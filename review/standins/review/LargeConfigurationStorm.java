package review;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Large configurations come in quick succession; the last one moves a route. */
final class LargeConfigurationStorm {

  private static final int VERSIONS = 25;
  private static final long GAP_MILLIS = 80;
  /** Just below the {@code value_bytes} of the settings, 1,048,576. */
  private static final int VALUE_BYTES = 1_040_000;
  private static final int TENANTS = 9;
  private static final long APPLY_MILLIS = 2000;
  private static final long OBSERVED_MILLIS = 15_000;
  private static final long CALL_GAP_MILLIS = 250;

  private LargeConfigurationStorm() {}

  public static void main(String[] arguments) {
    Lab.main(arguments, LargeConfigurationStorm::run);
  }

  private static int run(Lab lab) throws Exception {
    for (String service : List.of("ops", "ops-new")) {
      lab.replica(
          "replica-" + service,
          service,
          (request, reply) -> {
            lab.record.write("runs      %s at service %s", request.attempt(), service);
            reply.whole(200, service);
          });
    }
    lab.store.put("config", "main", configuration(1, "ops"));
    NodeProcess[] nodes = {lab.node("node-1"), lab.node("node-2")};
    for (NodeProcess node : nodes) {
      lab.waitUntilReady(node);
    }
    Thread.sleep(5000);
    if (!call(lab, nodes[0], "before-1").body().equals("ops")
        || !call(lab, nodes[1], "before-2").body().equals("ops")) {
      return Lab.EXIT_NOT_RUN;
    }

    int first = lab.trouble ? 2 : VERSIONS;
    List<ObjectNode> configurations = new ArrayList<>();
    for (int version = first; version <= VERSIONS; version++) {
      configurations.add(configuration(version, version == VERSIONS ? "ops-new" : "ops"));
    }
    long start = System.nanoTime();
    for (int i = 0; i < configurations.size(); i++) {
      Thread.sleep(Math.max(0, i * GAP_MILLIS - millisSince(start)));
      lab.store.put("config", "main", configurations.get(i));
      lab.record.write("operator  version %d acknowledged", first + i);
    }
    long acknowledged = System.nanoTime();

    int late = 0;
    int calls = 0;
    while (millisSince(acknowledged) < OBSERVED_MILLIS) {
      for (int i = 0; i < nodes.length; i++) {
        boolean counts = millisSince(acknowledged) > APPLY_MILLIS;
        Client.Answer answer = call(lab, nodes[i], "node-" + (i + 1) + "-call-" + ++calls);
        if (counts && answer.body().equals("ops")) {
          late++;
        }
      }
      Thread.sleep(CALL_GAP_MILLIS);
    }
    lab.record.write(
        "requests sent over %d ms after the acknowledgement that the old service ran: %d",
        APPLY_MILLIS, late);
    lab.record.write("largest answer to a watch: %d bytes", lab.store.largestWatchBytes());
    for (NodeProcess node : nodes) {
      lab.recordLog(node, "\"store.", 10);
      lab.recordLog(node, "\"configuration.taken", 5);
    }
    return late == 0 ? Lab.EXIT_HELD : Lab.EXIT_BROKEN;
  }

  /** Few routes, and ten customers with many keys. */
  private static ObjectNode configuration(int version, String service) {
    Configuration configuration = new Configuration(version);
    configuration.route("orders", "idempotent", service, 2000, 2).put("public", true);
    configuration.route("status", "idempotent", "ops", 800 + version, 2);
    ArrayNode tenants = (ArrayNode) configuration.json().path("tenants");
    int bytes = configuration.json().toString().length();
    int keys = 0;
    for (int i = 1; i <= TENANTS; i++) {
      ArrayNode tenantKeys = tenants.addObject().put("name", "t" + i).putArray("api_keys");
      while (bytes < VALUE_BYTES / TENANTS * i) {
        String key = String.format("%020d", ++keys);
        tenantKeys.add(key);
        bytes += key.length() + 3;
      }
    }
    return configuration.json();
  }

  private static long millisSince(long nanos) {
    return (System.nanoTime() - nanos) / 1_000_000;
  }

  private static Client.Answer call(Lab lab, NodeProcess node, String attempt) {
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("Host", Configuration.HOST);
    headers.put("Apricotmill-Attempt-Id", attempt);
    headers.put("Apricotmill-Deadline-Ms", "2000");
    return lab.call(node, "GET", "/orders/x", headers, new byte[0]);
  }
}
