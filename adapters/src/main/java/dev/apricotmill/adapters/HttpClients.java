package dev.apricotmill.adapters;

import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.coordination.memory.BufferBudget;
import dev.apricotmill.coordination.time.ResponseLimits;
import dev.apricotmill.coordination.time.ResponseTimer;
import dev.apricotmill.coordination.time.Timing;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.bootstrap.HttpAsyncRequester;
import org.apache.hc.core5.http.protocol.HttpProcessor;
import org.apache.hc.core5.http.protocol.HttpProcessorBuilder;
import org.apache.hc.core5.http.protocol.RequestConnControl;
import org.apache.hc.core5.http.protocol.RequestContent;
import org.apache.hc.core5.http.protocol.RequestTargetHost;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.pool.DefaultDisposalCallback;
import org.apache.hc.core5.pool.LaxConnPool;
import org.apache.hc.core5.pool.PoolReusePolicy;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.util.Timeout;

/**
 * The HTTP client that all adapters share, with its connection pool and I/O threads.
 *
 * <p>A request is sent at most once: neither this client nor the library retries it.
 */
public final class HttpClients implements AutoCloseable {

  private static final int MAXIMUM_LINE_BYTES = 16 * 1024;
  private static final int MAXIMUM_HEADERS = 100;

  /** The size of a head with the interim responses before it, and of trailers. */
  private static final int MAXIMUM_HEAD_BYTES = 64 << 10;

  private final HttpAsyncRequester requester;
  private final LaxConnPool<HttpHost, IOSession> pool;
  private final HttpClientSettings settings;
  private final BufferBudget buffers;
  private final Timing timing;

  private HttpClients(
      HttpAsyncRequester requester,
      LaxConnPool<HttpHost, IOSession> pool,
      HttpClientSettings settings,
      Timing timing) {
    this.requester = requester;
    this.pool = pool;
    this.settings = settings;
    buffers = new BufferBudget(settings.maximumBufferedBytes());
    this.timing = timing;
  }

  /** Starts a client with default limits whose timeouts are scheduled by {@code timing}. */
  public static HttpClients start(Timing timing) {
    return start(HttpClientSettings.DEFAULTS, timing);
  }

  /** Starts a client whose timeouts are scheduled by {@code timing}. */
  public static HttpClients start(HttpClientSettings settings, Timing timing) {
    return start(settings, timing, LateResponseListener.NONE);
  }

  /** Starts a client as above, with a listener for responses that are skipped. */
  public static HttpClients start(
      HttpClientSettings settings, Timing timing, LateResponseListener lateResponses) {
    LaxConnPool<HttpHost, IOSession> pool = connectionPool(settings);
    HttpAsyncRequester requester =
        new HttpAsyncRequester(
            reactorConfig(settings),
            new BoundedClientHandlerFactory(
                requestProcessor(), http1Config(), MAXIMUM_HEAD_BYTES, lateResponses),
            /* ioSessionDecorator= */ null,
            /* exceptionCallback= */ null,
            new IdleTimeoutRemover(),
            pool,
            /* tlsStrategy= */ null,
            /* handshakeTimeout= */ null,
            /* threadPoolListener= */ null,
            /* workerSelector= */ null);
    requester.setMaxTotal(settings.connections());
    requester.start();
    return new HttpClients(requester, pool, settings, timing);
  }

  private static IOReactorConfig reactorConfig(HttpClientSettings settings) {
    return IOReactorConfig.custom()
        .setIoThreadCount(settings.threads())
        .setTcpNoDelay(true)
        .setSoKeepAlive(true)
        .setSelectInterval(Timeout.ofMilliseconds(100))
        .build();
  }

  private static LaxConnPool<HttpHost, IOSession> connectionPool(HttpClientSettings settings) {
    return new LaxConnPool<>(
        settings.connectionsPerPeer(),
        timeout(settings.connectionLifetime()),
        PoolReusePolicy.LIFO,
        new DefaultDisposalCallback<>(),
        /* connPoolListener= */ null);
  }

  private static Http1Config http1Config() {
    return Http1Config.custom()
        .setInitialWindowSize(StreamWindow.BYTES)
        .setMaxLineLength(MAXIMUM_LINE_BYTES)
        .setMaxHeaderCount(MAXIMUM_HEADERS)
        .build();
  }

  private static HttpProcessor requestProcessor() {
    return HttpProcessorBuilder.create()
        .add(RequestContent.INSTANCE)
        .add(RequestTargetHost.INSTANCE)
        .add(RequestConnControl.INSTANCE)
        .build();
  }

  private static Timeout timeout(Duration duration) {
    return Timeout.of(duration.toNanos(), TimeUnit.NANOSECONDS);
  }

  Timing timing() {
    return timing;
  }

  /** Returns the number of open connections that no exchange uses. */
  int idleConnections() {
    return pool.getTotalStats().getAvailable();
  }

  /** Sends a request and buffers the complete response body, of at most {@code maximumBytes}. */
  public CompletableFuture<ExchangeResult> send(
      PeerAddress peer, HttpCall call, int maximumBytes, Duration timeout) {
    return send(peer, call, maximumBytes, ResponseLimits.within(timeout));
  }

  /** Sends a request as above, with limits that tell a large response from a stalled one. */
  public CompletableFuture<ExchangeResult> send(
      PeerAddress peer, HttpCall call, int maximumBytes, ResponseLimits limits) {
    BufferedExchange exchange = new BufferedExchange(peer, call, maximumBytes, buffers);
    start(exchange, limits);
    return exchange.result();
  }

  /** Starts {@code exchange} on a new or pooled connection; aborts it after {@code timeLimit}. */
  void start(ClientExchange exchange, Duration timeLimit) {
    start(exchange, ResponseLimits.within(timeLimit));
  }

  private void start(ClientExchange exchange, ResponseLimits limits) {
    Duration begin = limits.begin();
    if (begin.isZero() || begin.isNegative()) {
      exchange.abort(ExchangeFailure.TIMEOUT);
      return;
    }
    exchange.setTimer(
        ResponseTimer.start(timing, limits, () -> exchange.abort(ExchangeFailure.TIMEOUT)));
    Duration connectTimeout =
        begin.compareTo(settings.connectTimeout()) < 0 ? begin : settings.connectTimeout();
    LeasedConnection.lease(requester, pool, exchange, timeout(connectTimeout));
  }

  /** Sends a request and streams the response; aborts it after {@code timeLimit}. */
  public StreamedExchange stream(
      PeerAddress peer, HttpCall call, StreamedResponseListener listener, Duration timeLimit) {
    StreamedExchange exchange = new StreamedExchange(peer, call, listener);
    start(exchange, timeLimit);
    return exchange;
  }

  @Override
  public void close() {
    requester.close(CloseMode.IMMEDIATE);
  }
}
