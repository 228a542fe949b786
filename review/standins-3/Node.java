package review3;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** A node, started with the command of the deploy file and settings like those of DEPLOY.md. */
final class Node implements AutoCloseable {

  private final String host;
  private final int frontend;
  private final int readiness;
  private final Path log;
  private final ProcessBuilder builder;
  private Process process;
  private boolean closed;

  Node(Path directory, String name, String host, String zone, String store) throws IOException {
    this.host = host;
    frontend = freePort(host);
    readiness = freePort(host);
    int inner = freePort(host);
    Map<String, Object> settings = new LinkedHashMap<>();
    settings.put("node_name", name);
    settings.put("role", "node");
    settings.put("machine_class", "edge");
    settings.put("serves", List.of("edge"));
    settings.put("ip", host);
    settings.put("zone", zone);
    settings.put("region", "lisboa");
    settings.put("port_range", List.of((long) inner, (long) inner + 15));
    settings.put("seeds", List.of());
    settings.put("bootstrap", true);
    settings.put("heartbeat_ms", 1200L);
    settings.put(
        "contracts",
        List.of(
            "base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants",
            "platform", "spans"));
    settings.put(
        "listen",
        Map.of("frontend", host + ":" + frontend, "readiness", host + ":" + readiness));
    settings.put(
        "limits",
        Map.of("cpu_share", 0.75, "cores", 1L, "memory_mb", 430L, "max_fds", 4100L));
    settings.put(
        "bounds",
        Map.of(
            "stable_window_ms", 3000L,
            "drain_ms", 2000L,
            "grace_s", 8L,
            "config_apply_ms", 2000L,
            "revoke_strict", true,
            "revoke_ms", 5000L,
            "retry_ratio", 0.2,
            "retry_slack", 104L));
    settings.put(
        "platform", Map.of("address", store, "form", "objects", "history_s", 20L));
    Path file = directory.resolve(name + ".json");
    Files.writeString(file, Json.write(settings));
    log = directory.resolve(name + ".log");
    builder = new ProcessBuilder(command());
    builder.environment().put("APRICOTMILL_SETTINGS", file.toString());
    builder.environment().put("APRICOTMILL_METRICS_PORT", Integer.toString(freePort(host)));
    builder.redirectErrorStream(true);
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
  }

  private static List<String> command() throws IOException {
    for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
      if (line.startsWith("run = ")) {
        String words = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        return new ArrayList<>(List.of(words.split(" ")));
      }
    }
    throw new IOException("deploy/system.toml has no run line");
  }

  static int freePort(String host) throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host))) {
      return socket.getLocalPort();
    }
  }

  String host() {
    return host;
  }

  int port() {
    return frontend;
  }

  boolean isAlive() {
    return process.isAlive();
  }

  synchronized void start() throws IOException {
    if (!closed) {
      process = builder.start();
    }
  }

  /** Returns the last line that the process has written. */
  String lastLine() throws IOException {
    List<String> lines = Files.readAllLines(log);
    return lines.isEmpty() ? "" : lines.get(lines.size() - 1);
  }

  int exitCode() {
    return process.exitValue();
  }

  /** Waits until the node says that it is ready; returns false if it does not within 30 s. */
  boolean awaitReady() throws InterruptedException {
    for (int i = 0; i < 300; i++) {
      if (isReady()) {
        return true;
      }
      Thread.sleep(100);
    }
    return false;
  }

  boolean isReady() {
    try (Http.Connection connection = new Http.Connection(host, readiness, 1000)) {
      Http.Message answer =
          connection.call("GET /readyz HTTP/1.1", Map.of("Host", host), new byte[0]);
      return answer != null && answer.status() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  @Override
  public synchronized void close() {
    closed = true;
    if (process != null) {
      process.destroyForcibly();
      try {
        process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }
}
