package review;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** One node, started with the command of the deploy file. */
final class NodeProcess implements AutoCloseable {

  private static final ObjectMapper JSON = new ObjectMapper();

  private final String name;
  private final Path folder;
  private final int storePort;
  private final int callerPort = Ports.free();
  private final int readinessPort = Ports.free();
  private final int innerPort = Ports.free();
  private final int metricsPort = Ports.free();
  private Process process;

  NodeProcess(String name, Path folder, int storePort) throws IOException {
    this.name = name;
    this.folder = folder;
    this.storePort = storePort;
  }

  int callerPort() {
    return callerPort;
  }

  int readinessPort() {
    return readinessPort;
  }

  long pid() {
    return process.pid();
  }

  boolean isAlive() {
    return process.isAlive();
  }

  int exitValue() {
    return process.exitValue();
  }

  boolean waitForEnd(long millis) throws InterruptedException {
    return process.waitFor(millis, TimeUnit.MILLISECONDS);
  }

  Path log() {
    return folder.resolve(name + ".log");
  }

  void start() throws IOException {
    Path settings = folder.resolve(name + ".json");
    Files.writeString(settings, settings().toString());
    ProcessBuilder builder = new ProcessBuilder(command());
    builder.environment().put("APRICOTMILL_SETTINGS", settings.toString());
    builder.environment().put("APRICOTMILL_METRICS_PORT", Integer.toString(metricsPort));
    builder.redirectErrorStream(true);
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log().toFile()));
    process = builder.start();
    Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
  }

  /** Returns the words of the role's {@code run} line. */
  private static List<String> command() throws IOException {
    for (String line : Files.readAllLines(Path.of("deploy", "system.toml"))) {
      if (line.startsWith("run = \"")) {
        return List.of(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" "));
      }
    }
    throw new IOException("deploy/system.toml has no run line");
  }

  /** The fields of the settings file, with the bounds of the smaller deployments. */
  private ObjectNode settings() {
    ObjectNode root = JSON.createObjectNode();
    root.put("node_name", name).put("role", "node").put("machine_class", "edge");
    root.put("ip", Ports.HOST).put("zone", "zone-a").put("region", "region-a");
    root.putArray("serves").add("edge");
    root.putArray("port_range").add(innerPort).add(innerPort + 1);
    root.put("bootstrap", true).put("heartbeat_ms", 1200);
    ObjectNode listen = root.putObject("listen");
    listen.put("frontend", Ports.HOST + ":" + callerPort);
    listen.put("readiness", Ports.HOST + ":" + readinessPort);
    ObjectNode limits = root.putObject("limits");
    limits.put("cpu_share", 0.75).put("cores", 1).put("memory_mb", 430).put("max_fds", 4100);
    ObjectNode bounds = root.putObject("bounds");
    bounds.put("stable_window_ms", 3000).put("drain_ms", 2000).put("grace_s", 8);
    bounds.put("config_apply_ms", 2000).put("rollback_slack_ms", 250);
    bounds.put("revoke_strict", true).put("revoke_ms", 5000);
    bounds.put("retry_ratio", 0.2).put("retry_window_s", 10).put("retry_slack", 104);
    ObjectNode platform = root.putObject("platform");
    platform.put("address", Ports.HOST + ":" + storePort).put("form", "objects");
    platform.put("value_bytes", 1_048_576).put("puts_per_s", 400).put("gets_per_s", 2000).put("history_s", 20);
    return root;
  }

  /** Sends a signal, such as {@code TERM}, to this process. */
  void signal(String signal) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + signal, Long.toString(pid())).start().waitFor();
  }

  /** Waits until the readiness address answers 200; returns whether it did in time. */
  boolean waitUntilReady(long millis) throws InterruptedException {
    long end = System.nanoTime() + millis * 1_000_000;
    while (System.nanoTime() < end) {
      if (readiness() == 200) {
        return true;
      }
      Thread.sleep(50);
    }
    return false;
  }

  /** Returns the status of one readiness question, 0 if there is no answer within a second. */
  int readiness() {
    return Client.get(readinessPort, "/readyz", 1000);
  }

  @Override
  public void close() {
    if (process != null) {
      process.destroyForcibly();
    }
  }
}
