import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.File;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** A machine with one process of the project, started with the command of the deploy file. */
final class Node implements AutoCloseable {

  /** The ports that all machines of a script use; each machine has an address of its own. */
  record Ports(int frontend, int readiness, int inner, int metrics) {

    static Ports free() throws IOException {
      List<ServerSocket> held = new ArrayList<>();
      int[] ports = new int[4];
      for (int i = 0; i < ports.length; i++) {
        // A port that is free at the wildcard address is free at every loopback address.
        ServerSocket socket = new ServerSocket(0);
        held.add(socket);
        ports[i] = socket.getLocalPort();
      }
      for (ServerSocket socket : held) {
        socket.close();
      }
      return new Ports(ports[0], ports[1], ports[2], ports[3]);
    }
  }

  final String name;
  final String host;
  final Ports ports;
  private final Path folder;
  private final Path settings;
  private Process process;
  private int starts;

  Node(Path folder, String name, String host, String zone, Ports ports, String store)
      throws IOException {
    this.folder = folder;
    this.name = name;
    this.host = host;
    this.ports = ports;
    settings = folder.resolve(name + ".json");
    Files.writeString(settings, settings(zone, store).toString());
  }

  private ObjectNode settings(String zone, String store) {
    ObjectNode root = Store.JSON.createObjectNode();
    root.put("node_name", name)
        .put("role", "node")
        .put("machine_class", "edge")
        .put("ip", host)
        .put("zone", zone)
        .put("region", "r-1")
        .put("bootstrap", true)
        .put("loss_counts", false)
        .put("discovery", "platform")
        .put("entry", "anycast")
        .put("heartbeat_ms", 1200);
    root.putArray("serves").add("edge");
    root.putArray("port_range").add(ports.inner()).add(ports.inner());
    root.putArray("seeds");
    for (String contract :
        List.of(
            "base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants",
            "platform", "spans")) {
      root.withArray("contracts").add(contract);
    }
    root.putObject("zones").put(zone, "r-1");
    root.putObject("listen")
        .put("frontend", host + ":" + ports.frontend())
        .put("readiness", host + ":" + ports.readiness());
    root.putObject("limits")
        .put("cpu_share", 0.75)
        .put("cores", 1)
        .put("memory_mb", 430)
        .put("max_fds", 4200)
        .put("link_mbps", 1000.0)
        .put("disk_mb", 0);
    root.putObject("fault_tolerance").put("machines", 2).put("zones", 1).put("regions", 0);
    root.putObject("bounds")
        .put("seed_lag_s", 3)
        .put("reuse_after_s", 2)
        .put("stable_window_ms", 3000)
        .put("ack_ms", 4000)
        .put("catch_up_s", 4)
        .put("drain_ms", 2000)
        .put("grace_s", 8)
        .put("loss_slack_ms", 200)
        .put("config_apply_ms", 2000)
        .put("rollback_slack_ms", 250)
        .put("max_stretch_ms", 5000)
        .put("revoke_strict", true)
        .put("revoke_ms", 5000)
        .put("retry_ratio", 0.2)
        .put("retry_window_s", 10)
        .put("retry_slack", 100)
        .put("recovery_s", 12)
        .put("event_delay_ms", 120)
        .put("retry_after_s", 0)
        .put("stall_ms", 1500)
        .put("hold_max_ms", 20000)
        .put("release_ms", 4000)
        .put("idle_max_ms", 9000);
    root.putObject("platform")
        .put("address", store)
        .put("form", "objects")
        .put("puts_per_s", 400)
        .put("gets_per_s", 2000)
        .put("history_s", 20)
        .put("value_bytes", 1048576)
        .put("ttl_min_ms", 1000);
    return root;
  }

  /** Starts the process; the working directory is the repository's root. */
  void start() throws IOException {
    String deploy = Files.readString(Path.of("deploy/system.toml"));
    Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deploy);
    if (!run.find()) {
      throw new IOException("no run line in deploy/system.toml");
    }
    ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" "));
    Map<String, String> environment = builder.environment();
    environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
    environment.put("APRICOTMILL_SETTINGS", settings.toString());
    environment.put("APRICOTMILL_METRICS_PORT", "" + ports.metrics());
    File log = folder.resolve(name + "." + ++starts + ".log").toFile();
    builder.redirectErrorStream(true).redirectOutput(log);
    Process started = builder.start();
    process = started;
    // The process ends with the script, also if the script is ended by a signal.
    Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
  }

  /** Returns the output of the last start. */
  String output() throws IOException {
    return Files.readString(folder.resolve(name + "." + starts + ".log"));
  }

  Process process() {
    return process;
  }

  /** Sends a signal by name to the process. */
  void signal(String signal) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + signal, "" + process.pid()).start().waitFor();
  }

  void kill() throws InterruptedException {
    process.destroyForcibly().waitFor();
  }

  boolean isReady() {
    try {
      HttpURLConnection connection =
          (HttpURLConnection)
              URI.create("http://" + host + ":" + ports.readiness() + "/readyz")
                  .toURL()
                  .openConnection();
      connection.setConnectTimeout(500);
      connection.setReadTimeout(500);
      int status = connection.getResponseCode();
      connection.disconnect();
      return status == 200;
    } catch (IOException e) {
      return false;
    }
  }

  /** Waits until the node is ready; returns whether it is. */
  boolean awaitReady(long millis) throws InterruptedException {
    long end = System.nanoTime() + millis * 1_000_000;
    while (System.nanoTime() < end) {
      if (isReady()) {
        return true;
      }
      Thread.sleep(50);
    }
    return false;
  }

  /** Deletes the settings and the output of all nodes. */
  static void delete(Path folder) throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      for (Path file : files.toList()) {
        Files.delete(file);
      }
    }
    Files.delete(folder);
  }

  InetAddress inetAddress() throws IOException {
    return InetAddress.getByName(host);
  }

  @Override
  public void close() {
    if (process != null) {
      process.destroyForcibly();
      try {
        process.waitFor();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }
}
