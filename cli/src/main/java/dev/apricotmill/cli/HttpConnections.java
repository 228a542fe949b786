package dev.apricotmill.cli;

import com.google.common.base.Ticker;
import com.google.common.collect.ImmutableMap;
import com.google.common.io.Closer;
import dev.apricotmill.adapters.HttpClientSettings;
import dev.apricotmill.adapters.HttpClients;
import dev.apricotmill.adapters.HttpPlatform;
import dev.apricotmill.cli.command.Awaiter;
import dev.apricotmill.cli.command.CommandContext;
import dev.apricotmill.cli.command.Connections;
import dev.apricotmill.cli.command.OperatorPort;
import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.coordination.platform.Platform;
import dev.apricotmill.coordination.time.Timing;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.time.InstantSource;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;

/** Opens HTTP connections and closes everything that it opened. */
final class HttpConnections implements Connections, AutoCloseable {
  /** The time limit of a call also bounds the wait for its connection. */
  private static final HttpClientSettings SETTINGS =
      new HttpClientSettings(
          HttpClientSettings.DEFAULTS.threads(),
          HttpClientSettings.DEFAULTS.connectionsPerPeer(),
          HttpClientSettings.DEFAULTS.connections(),
          /* connectTimeout= */ Duration.ofDays(1),
          HttpClientSettings.DEFAULTS.connectionLifetime(),
          HttpClientSettings.DEFAULTS.maximumBufferedBytes());

  private final Closer closer;
  private final Timing timing;
  private final HttpClients clients;
  private final HttpOperatorPort operatorPort;

  private HttpConnections(
      Closer closer, Timing timing, HttpClients clients, HttpOperatorPort operatorPort) {
    this.closer = closer;
    this.timing = timing;
    this.clients = clients;
    this.operatorPort = operatorPort;
  }

  static HttpConnections open() {
    Closer closer = Closer.create();
    ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor();
    closer.register(scheduler::shutdownNow);
    Timing timing = new Timing(InstantSource.system(), Ticker.systemTicker(), scheduler);
    HttpClients clients = HttpClients.start(SETTINGS, timing);
    closer.register(clients::close);
    return new HttpConnections(closer, timing, clients, new HttpOperatorPort(clients));
  }

  /** Returns the context of a command that uses these connections. */
  CommandContext context(ImmutableMap<String, String> environment, PrintWriter progress) {
    return new CommandContext(environment, this, timing, new JoiningAwaiter(), progress);
  }

  @Override
  public Platform platform(PeerAddress address) {
    return new HttpPlatform(clients, address);
  }

  @Override
  public OperatorPort operatorPort() {
    return operatorPort;
  }

  @Override
  public void close() {
    try {
      closer.close();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Blocks the calling thread. */
  private static final class JoiningAwaiter implements Awaiter {
    @Override
    public <T> T await(CompletionStage<T> stage) {
      return stage.toCompletableFuture().join();
    }
  }
}
