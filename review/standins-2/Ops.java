import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** The configuration of a small deployment with one service. */
final class Ops {

  static final String HOST = "ops.example";
  static final String SERVICE = "ops";

  private Ops() {}

  static ObjectNode configuration() {
    ObjectNode root = Store.JSON.createObjectNode();
    root.put("version", 7);
    ArrayNode routes = root.putArray("routes");
    route(routes, "r-state", "/state/", "idempotent", 2);
    route(routes, "r-order", "/order/", "non_idempotent", 1);
    root.putArray("services")
        .addObject()
        .put("name", SERVICE)
        .put("health_path", "/healthz")
        .put("max_conns", 110)
        .put("protocol", "h1")
        .put("tls", false);
    root.putObject("limits")
        .put("max_header_bytes", 16384)
        .put("max_body_bytes", 4194304)
        .put("header_timeout_ms", 3000)
        .put("idle_timeout_ms", 15000);
    return root;
  }

  private static void route(ArrayNode routes, String name, String prefix, String type, int attempts) {
    routes
        .addObject()
        .put("name", name)
        .put("host", HOST)
        .put("path_prefix", prefix)
        .put("type", type)
        .put("timeout_ms", 800)
        .put("latency_goal_ms", 200)
        .put("priority", 2)
        .put("service", SERVICE)
        .put("max_attempts", attempts)
        .put("public", false);
  }
}
