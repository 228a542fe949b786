package dev.apricotmill.daemon.client;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.io.Closer;
import dev.apricotmill.adapters.HttpClients;
import dev.apricotmill.adapters.HttpEngineConnector;
import dev.apricotmill.adapters.HttpPlainService;
import dev.apricotmill.adapters.HttpPlatform;
import dev.apricotmill.coordination.configuration.ChangeResult;
import dev.apricotmill.coordination.configuration.ConfigurationChange;
import dev.apricotmill.coordination.configuration.ConfigurationStore;
import dev.apricotmill.coordination.configuration.PartContent;
import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.coordination.platform.Platform;
import dev.apricotmill.coordination.platform.WriterSettings;
import dev.apricotmill.coordination.time.Timing;
import dev.apricotmill.core.configuration.CheckResult;
import dev.apricotmill.core.configuration.Configuration;
import dev.apricotmill.core.configuration.ConfigurationCodec;
import dev.apricotmill.core.configuration.ConfigurationFile;
import dev.apricotmill.core.configuration.EngineProfile;
import dev.apricotmill.daemon.process.DaemonProcess;
import dev.apricotmill.daemon.process.ExternalDependencies;
import dev.apricotmill.daemon.process.SystemTiming;
import dev.apricotmill.daemon.settings.DaemonSettings;
import dev.apricotmill.daemon.settings.SettingsReader;
import dev.apricotmill.daemon.settings.SettingsResult;
import dev.apricotmill.node.ServingNode;
import dev.apricotmill.testhelpers.engine.EngineServer;
import dev.apricotmill.testhelpers.engine.EngineSettings;
import dev.apricotmill.testhelpers.platform.PlatformServer;
import dev.apricotmill.testhelpers.platform.PlatformSettings;
import dev.apricotmill.testhelpers.service.ServiceServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.UUID;

/** One daemon on ephemeral ports, with a platform, an engine and a service replica. */
final class DaemonWithBackends implements AutoCloseable {

  static final String CUSTOMER_KEY = "crews-key-0123456789";

  private static final String CONFIGURATION =
      """
      {
        "objective": "SHORT_REQUEST_SLOWDOWN",
        "customers": [
          {"id": "crews", "key": "%s", "weight": 10, "priority": "HIGH",
           "limits": {"requestsPerSecond": 1000, "promptTokensPerSecond": 10000000,
                      "openRequests": 100}}
        ],
        "services": [
          {"kind": "MODEL_POOL", "name": "assistant",
           "replicas": [
             {"id": "engine-1", "zone": "lisbon-1", "address": "%s", "machine": "vm-e1"}],
           "profile": {"memoryTokens": 100000, "prefillTokensPerSecond": 1000000,
                       "decodeTokensPerSecond": 5000, "maximumSequences": 16},
           "checksFencing": true},
          {"kind": "PLAIN", "name": "dispatch",
           "replicas": [
             {"id": "desk-1", "zone": "lisbon-1", "address": "%s", "machine": "vm-d1"}],
           "keyPolicy": {"form": "TIMED", "window": "PT1H"}}
        ],
        "rules": [
          {"service": "assistant", "method": "*", "pathPrefix": "/", "access": "ALLOW",
           "repetition": "IDEMPOTENT", "timeLimit": "PT1M"},
          {"service": "dispatch", "method": "GET", "pathPrefix": "/status", "access": "ALLOW",
           "repetition": "IDEMPOTENT", "timeLimit": "PT5S"},
          {"service": "dispatch", "method": "POST", "pathPrefix": "/orders", "access": "ALLOW",
           "repetition": "AT_MOST_ONCE", "timeLimit": "PT30S"}
        ]
      }
      """;

  private final Closer closer = Closer.create();
  private final EngineServer engine;
  private final ServiceServer service;
  private final DaemonProcess daemon;

  private DaemonWithBackends(Optional<PeerAddress> otherService) throws Exception {
    Timing timing = SystemTiming.start();
    closer.register(timing.scheduler()::shutdownNow);
    PlatformServer platformServer = new PlatformServer(PlatformSettings.DEFAULTS, 0, timing);
    closer.register(platformServer::close);
    EngineProfile profile = new EngineProfile(100_000, 1e6, 5_000, 16);
    engine = new EngineServer(EngineSettings.of(profile), 0, timing);
    closer.register(engine::close);
    service = new ServiceServer("desk-1", 0, timing);
    closer.register(service::close);
    HttpClients clients = HttpClients.start(timing);
    closer.register(clients::close);
    Platform platform = new HttpPlatform(clients, platformServer.address());
    applyConfiguration(timing, platform, otherService.orElse(service.address()));
    ExternalDependencies outer =
        new ExternalDependencies(
            platform, new HttpEngineConnector(clients), new HttpPlainService(clients));
    daemon =
        DaemonProcess.start(
            daemonSettings(platformServer.address().toString()), timing, outer, ServingNode::new);
    closer.register(daemon::close);
  }

  /** Starts everything; the daemon may not be ready yet. */
  static DaemonWithBackends start() throws Exception {
    return new DaemonWithBackends(Optional.empty());
  }

  /** Starts everything, and calls the plain service at another address than that of its own. */
  static DaemonWithBackends startWithService(PeerAddress address) throws Exception {
    return new DaemonWithBackends(Optional.of(address));
  }

  /** Returns a UUID version 7 (RFC 9562) with the current time. */
  static String newTimedKey() {
    long high = (System.currentTimeMillis() << 16) | 0x7000L;
    return new UUID(high, 0x8000_0000_0000_0001L).toString();
  }

  private void applyConfiguration(Timing timing, Platform platform, PeerAddress serviceAddress)
      throws Exception {
    String text = CONFIGURATION.formatted(CUSTOMER_KEY, engine.address(), serviceAddress);
    CheckResult check = ConfigurationFile.check(text.getBytes(UTF_8), ImmutableList.of());
    if (!(check instanceof CheckResult.Valid valid)) {
      throw new IllegalStateException("the test configuration is invalid: " + check);
    }
    Configuration configuration = valid.configuration();
    ImmutableMap.Builder<String, PartContent> parts = ImmutableMap.builder();
    ConfigurationCodec.encode(configuration)
        .forEach((name, bytes) -> parts.put(name, PartContent.copyOf(bytes)));
    ChangeResult result =
        new ConfigurationStore(timing, platform, WriterSettings.defaults(), new SplittableRandom(1))
            .propose(new ConfigurationChange(0, parts.buildOrThrow(), "operator", "change-1"))
            .toCompletableFuture()
            .get();
    if (!(result instanceof ChangeResult.Accepted)) {
      throw new IllegalStateException("the test configuration was not accepted: " + result);
    }
  }

  private static DaemonSettings daemonSettings(String platformAddress) {
    SettingsResult result =
        SettingsReader.read(
            ImmutableList.of(
                "--daemon-name", "entry-1",
                "--zone", "lisbon-1",
                "--platform-address", platformAddress,
                "--public-port", "0",
                "--inner-port", "0",
                "--operators-port", "0",
                "--drain-time", "2"),
            ImmutableMap.of());
    return ((SettingsResult.Valid) result).settings();
  }

  /** Drains the daemon as a termination signal does; returns whether all requests ended. */
  boolean drain() {
    return daemon.drain();
  }

  InetSocketAddress publicAddress() {
    return daemon.publicAddress();
  }

  InetSocketAddress operatorsAddress() {
    return daemon.operatorsAddress();
  }

  EngineServer engine() {
    return engine;
  }

  ServiceServer service() {
    return service;
  }

  @Override
  public void close() throws IOException {
    closer.close();
  }
}
