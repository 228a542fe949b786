package dev.apricotmill.daemon;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import dev.apricotmill.adapters.HttpClients;
import dev.apricotmill.adapters.HttpEngineConnector;
import dev.apricotmill.adapters.HttpPlainService;
import dev.apricotmill.adapters.HttpPlatform;
import dev.apricotmill.coordination.time.Timing;
import dev.apricotmill.daemon.process.DaemonProcess;
import dev.apricotmill.daemon.process.EssentialThreads;
import dev.apricotmill.daemon.process.ExternalDependencies;
import dev.apricotmill.daemon.process.Logs;
import dev.apricotmill.daemon.process.SystemTiming;
import dev.apricotmill.daemon.settings.DaemonSettings;
import dev.apricotmill.daemon.settings.SettingFault;
import dev.apricotmill.daemon.settings.SettingsReader;
import dev.apricotmill.daemon.settings.SettingsResult;
import dev.apricotmill.node.ServingNode;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.concurrent.CountDownLatch;

/** The daemon's main program. Reads the settings, runs the daemon and drains it on SIGTERM. */
public final class ApricotmillDaemon {

  private static final int EXIT_DRAINED = 0;
  private static final int EXIT_USAGE = 64;
  private static final int EXIT_PORT_UNAVAILABLE = 69;
  private static final int EXIT_DRAIN_INCOMPLETE = 75;
  private static final String DEVELOPMENT_VERSION = "development";

  private ApricotmillDaemon() {}

  /** Runs the daemon until the process receives a termination signal. */
  public static void main(String[] arguments) throws InterruptedException {
    Logs.install();
    EssentialThreads.endProcessOnUncaughtErrors();
    SettingsResult result =
        SettingsReader.read(ImmutableList.copyOf(arguments), ImmutableMap.copyOf(System.getenv()));
    if (result instanceof SettingsResult.Valid valid) {
      run(valid.settings());
    } else if (result instanceof SettingsResult.HelpRequested help) {
      System.out.print(help.text());
    } else if (result instanceof SettingsResult.VersionRequested) {
      System.out.println("apricotmilld " + version());
    } else if (result instanceof SettingsResult.Invalid invalid) {
      printFaults(invalid.faults());
      System.exit(EXIT_USAGE);
    }
  }

  private static void run(DaemonSettings settings) throws InterruptedException {
    Logs.configure(settings.logLevel());
    Timing timing = SystemTiming.start();
    HttpClients clients = HttpClients.start(timing);
    ExternalDependencies external =
        new ExternalDependencies(
            new HttpPlatform(clients, settings.platform()),
            new HttpEngineConnector(clients),
            new HttpPlainService(clients));
    DaemonProcess process;
    try {
      process = DaemonProcess.start(settings, timing, external, ServingNode::new);
    } catch (IOException e) {
      logger().log(Level.ERROR, "daemon: {0}: {1}", e.getMessage(), String.valueOf(e.getCause()));
      Runtime.getRuntime().halt(EXIT_PORT_UNAVAILABLE);
      return;
    }
    Runtime.getRuntime().addShutdownHook(new Thread(() -> shutDown(process, clients), "shutdown"));
    new CountDownLatch(1).await();
  }

  private static void shutDown(DaemonProcess process, HttpClients clients) {
    boolean drained = process.drain();
    try {
      process.close();
      clients.close();
    } catch (IOException | RuntimeException e) {
      logger().log(Level.WARNING, "daemon: closing failed: {0}", e.toString());
    }
    // Without halt() the process would exit with the signal's own exit code.
    Runtime.getRuntime().halt(drained ? EXIT_DRAINED : EXIT_DRAIN_INCOMPLETE);
  }

  private static void printFaults(ImmutableList<SettingFault> faults) {
    System.err.println("apricotmilld: " + faults.size() + " invalid settings:");
    faults.forEach(fault -> System.err.println("  " + fault.message()));
    System.err.println("apricotmilld: --help lists all settings");
  }

  private static String version() {
    String version = ApricotmillDaemon.class.getPackage().getImplementationVersion();
    return version == null ? DEVELOPMENT_VERSION : version;
  }

  /** Returns the logger, which must not be created before the log manager is installed. */
  private static Logger logger() {
    return System.getLogger(ApricotmillDaemon.class.getName());
  }
}
