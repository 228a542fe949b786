package review3;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Builds configurations as the operator writes them. */
final class Configuration {

  static final String HOST = "ficu95.example";
  static final String SERVICE = "banner-ops";

  private final Map<String, Object> spec = new LinkedHashMap<>();
  private final List<Object> routes = new ArrayList<>();
  private final List<Object> tenants = new ArrayList<>();

  Configuration(long version) {
    spec.put("version", version);
    spec.put("routes", routes);
    Map<String, Object> service = new LinkedHashMap<>();
    service.put("name", SERVICE);
    service.put("health_path", "/healthz");
    service.put("max_conns", 110L);
    spec.put("services", List.of(service));
    spec.put("tenants", tenants);
    spec.put(
        "limits",
        Map.of(
            "max_header_bytes", 16384L,
            "max_body_bytes", 4194304L,
            "header_timeout_ms", 3000L,
            "idle_timeout_ms", 15000L));
  }

  Configuration route(String name, String prefix, String type, long timeoutMillis, long attempts) {
    Map<String, Object> route = new LinkedHashMap<>();
    route.put("name", name);
    route.put("host", HOST);
    route.put("path_prefix", prefix);
    route.put("service", SERVICE);
    route.put("type", type);
    route.put("timeout_ms", timeoutMillis);
    route.put("latency_goal_ms", 150L);
    route.put("max_attempts", attempts);
    route.put("priority", 2L);
    routes.add(route);
    return this;
  }

  Configuration tenant(String name, List<String> keys) {
    tenants.add(Map.of("name", name, "api_keys", keys));
    return this;
  }

  /** Sets the connections that a replica accepts. */
  Configuration connections(long connections) {
    Json.object(((List<?>) spec.get("services")).get(0)).put("max_conns", connections);
    return this;
  }

  Map<String, Object> spec() {
    return spec;
  }
}
