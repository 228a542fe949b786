package dev.apricotmill.daemon.process;

import com.google.common.collect.Comparators;
import com.google.common.io.Closer;
import com.google.common.util.concurrent.ThreadFactoryBuilder;
import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.coordination.time.Deadline;
import dev.apricotmill.coordination.time.Timing;
import dev.apricotmill.daemon.callers.CallerHandler;
import dev.apricotmill.daemon.callers.RequestIds;
import dev.apricotmill.daemon.http.CallerMemory;
import dev.apricotmill.daemon.http.ClientLimitReporter;
import dev.apricotmill.daemon.http.HttpListener;
import dev.apricotmill.daemon.http.ServerLimits;
import dev.apricotmill.daemon.inner.InnerEndpoint;
import dev.apricotmill.daemon.inner.InnerPeerProbes;
import dev.apricotmill.daemon.inner.InnerStewardPeers;
import dev.apricotmill.daemon.operators.OperatorsHandler;
import dev.apricotmill.daemon.operators.OperatorsToken;
import dev.apricotmill.daemon.settings.CallerLimits;
import dev.apricotmill.daemon.settings.DaemonSettings;
import dev.apricotmill.node.Node;
import dev.apricotmill.node.NodeDependencies;
import dev.apricotmill.node.NodeSettings;
import dev.apricotmill.node.api.NodeStatus;
import dev.apricotmill.node.relay.EventLog;
import dev.apricotmill.protocol.InnerClient;
import dev.apricotmill.protocol.InnerServer;
import dev.apricotmill.protocol.MutualTls;
import dev.apricotmill.protocol.TransportLimits;
import dev.apricotmill.protocol.TransportSecurity;
import io.micrometer.core.instrument.binder.jvm.JvmGcMetrics;
import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics;
import io.micrometer.core.instrument.binder.system.ProcessorMetrics;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.locks.LockSupport;
import java.util.random.RandomGenerator;

/** The components of one daemon: three listeners, the client for other daemons and the node. */
public final class DaemonProcess implements AutoCloseable {

  private static final Logger LOGGER = System.getLogger(DaemonProcess.class.getName());
  private static final int IO_THREADS = 2;
  private static final Duration TLS_RELOAD_PERIOD = Duration.ofSeconds(10);
  private static final long RESPONSE_POLL_INTERVAL_NANOS = 5_000_000;
  private static final long EVENT_LOOP_SHUTDOWN_TIMEOUT_MILLIS = 500;

  /** The part of the drain time that is reserved for sending final responses. */
  private static final Duration MAX_FINAL_RESPONSE_TIME = Duration.ofSeconds(1);

  private static final int MIN_DRAIN_PER_RESPONSE_TIME = 10;
  private static final ServerLimits OPERATORS_LIMITS =
      new ServerLimits(
          16 << 10, 64 << 10, 1 << 20, 64, Duration.ofSeconds(10), Duration.ofSeconds(10));

  private final Closer closer = Closer.create();
  private final DaemonSettings settings;
  private final Timing timing;
  private final RandomGenerator random = new SecureRandom();
  private final Node node;
  private final HttpListener publicListener;
  private final HttpListener operatorsListener;
  private final InnerServer innerServer;

  private DaemonProcess(
      DaemonSettings settings, Timing timing, ExternalDependencies external, NodeFactory factory)
      throws IOException {
    this.settings = settings;
    this.timing = timing;
    EventLoopGroup group = eventLoops();
    closer.register(() -> shutDown(group));
    String name = settings.daemon().name();
    TransportLimits limits = TransportLimits.DEFAULT;
    TransportSecurity security = innerSecurity();
    innerServer =
        new InnerServer(
            name, settings.innerAddress(), limits, security, group, InnerEndpoint.notReady());
    closer.register(innerServer::close);
    InnerClient client = new InnerClient(name, limits, security, group);
    closer.register(client::close);
    Tracing tracing = Tracing.start(name, settings.otlpEndpoint());
    closer.register(tracing::close);
    PrometheusMeterRegistry meters = meters();
    InnerPeerProbes probes = new InnerPeerProbes(client, timing);
    node =
        factory.create(
            nodeSettings(),
            new NodeDependencies(
                timing,
                external.platform(),
                probes,
                new InnerStewardPeers(client, timing),
                probes,
                external.engines(),
                external.services(),
                random,
                meters,
                tracing.tracer()));
    closer.register(node::close);
    CallerMemory memory =
        CallerMemory.ofHeap(new ClientLimitReporter(timing, EventLog.NONE, meters));
    publicListener = publicListener(memory);
    operatorsListener = operatorsListener(memory, meters);
  }

  /**
   * Starts a daemon.
   *
   * @throws IOException if a port cannot be used
   */
  public static DaemonProcess start(
      DaemonSettings settings, Timing timing, ExternalDependencies external, NodeFactory factory)
      throws IOException {
    DaemonProcess process = new DaemonProcess(settings, timing, external, factory);
    process.node.start();
    process.innerServer.setAcceptor(
        new InnerEndpoint(process.node, process.node, process.node, timing));
    LOGGER.log(
        Level.INFO,
        "daemon: {0} in zone {1} listens: public {2}, inner {3}, operators {4}",
        settings.daemon(),
        settings.zone(),
        process.publicAddress(),
        process.innerAddress(),
        process.operatorsAddress());
    return process;
  }

  /** Returns the listen address of the public HTTP API. */
  public InetSocketAddress publicAddress() {
    return publicListener.address();
  }

  /** Returns the listen address for other daemons. */
  public InetSocketAddress innerAddress() {
    return innerServer.address();
  }

  /** Returns the listen address of the operators' API. */
  public InetSocketAddress operatorsAddress() {
    return operatorsListener.address();
  }

  /**
   * Waits at most the drain time for open requests to end; returns whether all ended.
   *
   * <p>Requests that are open shortly before the drain time is over are ended, so that their
   * callers get a final response.
   */
  public boolean drain() {
    LOGGER.log(Level.INFO, "daemon: draining for at most {0}", settings.drainTime());
    Duration responseTime =
        Comparators.min(
            MAX_FINAL_RESPONSE_TIME, settings.drainTime().dividedBy(MIN_DRAIN_PER_RESPONSE_TIME));
    Deadline deadline = timing.deadlineAfter(settings.drainTime());
    Deadline waitDeadline = timing.deadlineAfter(settings.drainTime().minus(responseTime));
    try {
      if (awaitDrained(waitDeadline) && awaitResponsesWritten(waitDeadline)) {
        return true;
      }
      LOGGER.log(
          Level.WARNING,
          "daemon: drain time over, {0} requests are ended",
          publicListener.openResponses());
      node.endOpenRequests();
      if (!awaitResponsesWritten(deadline)) {
        LOGGER.log(
            Level.WARNING,
            "daemon: {0} responses are cut off: their callers did not read them",
            publicListener.openResponses());
      }
    } catch (ExecutionException e) {
      LOGGER.log(Level.WARNING, "daemon: drain did not complete: {0}", e.toString());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return false;
  }

  private boolean awaitDrained(Deadline deadline) throws ExecutionException, InterruptedException {
    try {
      NodeStatus status =
          node.drain()
              .toCompletableFuture()
              .get(deadline.remaining(timing.nanoTime()).toMillis(), TimeUnit.MILLISECONDS);
      LOGGER.log(Level.INFO, "daemon: drained, {0} requests open", status.openRequests());
      return true;
    } catch (TimeoutException e) {
      return false;
    }
  }

  @Override
  public void close() throws IOException {
    closer.close();
  }

  /** Waits until all responses are written to their sockets; returns false on a timeout. */
  private boolean awaitResponsesWritten(Deadline deadline) {
    while (publicListener.openResponses() > 0) {
      if (deadline.hasPassed(timing.nanoTime())) {
        return false;
      }
      LockSupport.parkNanos(RESPONSE_POLL_INTERVAL_NANOS);
    }
    return true;
  }

  private TransportSecurity innerSecurity() throws IOException {
    if (settings.innerTls().isEmpty()) {
      return TransportSecurity.PLAIN;
    }
    MutualTls tls = MutualTls.load(settings.innerTls().get());
    Future<?> reload = timing.scheduleRepeatedly(TLS_RELOAD_PERIOD, tls::reloadIfChanged);
    closer.register(() -> reload.cancel(false));
    return tls;
  }

  private HttpListener publicListener(CallerMemory memory) throws IOException {
    CallerLimits limits = settings.limits();
    CallerHandler handler =
        new CallerHandler(
            node,
            timing.clock(),
            new RequestIds(timing.clock(), random),
            settings.maximumTimeLimit());
    HttpListener listener =
        new HttpListener(
            "public",
            settings.publicAddress(),
            new ServerLimits(
                limits.maximumHeaderBytes(),
                limits.maximumBodyBytes(),
                limits.maximumBufferedBytes(),
                limits.maximumConnections(),
                limits.readTimeout(),
                limits.readTimeout()),
            memory,
            handler,
            timing,
            IO_THREADS);
    closer.register(listener::close);
    return listener;
  }

  private HttpListener operatorsListener(CallerMemory memory, PrometheusMeterRegistry meters)
      throws IOException {
    HttpListener listener =
        new HttpListener(
            "operators",
            settings.operatorsAddress(),
            OPERATORS_LIMITS,
            memory,
            new OperatorsHandler(node, meters, new OperatorsToken(settings.operatorTokenHash())),
            timing,
            1);
    closer.register(listener::close);
    return listener;
  }

  private NodeSettings nodeSettings() {
    InetSocketAddress inner = innerServer.address();
    return new NodeSettings(
        settings.daemon(),
        settings.zone(),
        new PeerAddress(inner.getAddress().getHostAddress(), inner.getPort()),
        settings.limits().maximumOpenRequests(),
        settings.defaultTimeLimit(),
        settings.maximumTimeLimit());
  }

  private PrometheusMeterRegistry meters() {
    PrometheusMeterRegistry meters = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    closer.register(meters::close);
    JvmGcMetrics gcMetrics = new JvmGcMetrics();
    closer.register(gcMetrics::close);
    gcMetrics.bindTo(meters);
    new JvmMemoryMetrics().bindTo(meters);
    new ProcessorMetrics().bindTo(meters);
    return meters;
  }

  private static EventLoopGroup eventLoops() {
    return new MultiThreadIoEventLoopGroup(
        IO_THREADS,
        new ThreadFactoryBuilder().setNameFormat("inner-%d").setDaemon(true).build(),
        NioIoHandler.newFactory());
  }

  private static void shutDown(EventLoopGroup group) {
    group.shutdownGracefully(0, EVENT_LOOP_SHUTDOWN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
  }
}
