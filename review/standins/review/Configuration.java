package review;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Builds what the operator writes to {@code config/main}. */
final class Configuration {

  static final String HOST = "svc.example";
  static final String KEY = "key-of-tenant-a";

  private static final ObjectMapper JSON = new ObjectMapper();

  private final ObjectNode root = JSON.createObjectNode();
  private final ArrayNode routes;

  Configuration(long version) {
    root.put("version", version);
    routes = root.putArray("routes");
    ArrayNode services = root.putArray("services");
    ObjectNode pool = services.addObject().put("name", "pool").put("max_conns", 364);
    ObjectNode engine = pool.putObject("engine");
    engine.put("slots", 11).put("kv_capacity", 450_000).put("step_ms", 0.925);
    engine.put("per_seq_ms", 0.00483).put("context_per_k", 0.00254).put("read_per_s", 256_000);
    engine.put("pairs_per_m", 0.0917).put("chunk", 2048).put("stride", 46);
    engine.put("report_lag_ms", 200);
    engine.putObject("usual").put("prompt", 20_000).put("answer", 1_500);
    services.addObject().put("name", "ops").put("max_conns", 110);
    services.addObject().put("name", "ops-new").put("max_conns", 110);
    ObjectNode limits = root.putObject("limits");
    limits.put("max_header_bytes", 16_384).put("max_body_bytes", 4_194_304);
    limits.put("header_timeout_ms", 3000).put("idle_timeout_ms", 15_000);
    ObjectNode tenant = root.putArray("tenants").addObject();
    tenant.put("name", "tenant-a").putArray("api_keys").add(KEY);
  }

  /** Adds a route and returns it, so that more fields can be set. */
  ObjectNode route(String name, String type, String service, long timeoutMillis, int attempts) {
    ObjectNode route = routes.addObject();
    route.put("name", name).put("host", HOST).put("path_prefix", "/" + name + "/");
    route.put("type", type).put("service", service).put("timeout_ms", timeoutMillis);
    route.put("max_attempts", attempts).put("latency_goal_ms", 300).put("priority", 1);
    route.put("public", false);
    return route;
  }

  /** Adds a route of resumable streams as the sheets have them. */
  ObjectNode stream(String name, long goalMillis, long gapMillis, long timeoutMillis) {
    ObjectNode route = route(name, "streaming", "pool", timeoutMillis, 2);
    route.put("latency_goal_ms", goalMillis).put("gap_target_ms", gapMillis);
    return route.put("resumable", true).put("sticky", true);
  }

  ObjectNode json() {
    return root;
  }
}
