package dev.apricotmill.daemon.http;

import com.google.common.collect.Comparators;
import com.google.common.util.concurrent.ThreadFactoryBuilder;
import dev.apricotmill.adapters.BoundedChunkDecoder;
import dev.apricotmill.adapters.BoundedFillSession;
import dev.apricotmill.adapters.CompleteHeadParser;
import dev.apricotmill.coordination.memory.BufferBudget;
import dev.apricotmill.coordination.time.Timing;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.channels.ReadableByteChannel;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.URIScheme;
import org.apache.hc.core5.http.config.CharCodingConfig;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.BasicHttpTransportMetrics;
import org.apache.hc.core5.http.impl.DefaultConnectionReuseStrategy;
import org.apache.hc.core5.http.impl.DefaultContentLengthStrategy;
import org.apache.hc.core5.http.impl.bootstrap.HttpAsyncServer;
import org.apache.hc.core5.http.impl.nio.DefaultHttpRequestParserFactory;
import org.apache.hc.core5.http.impl.nio.DefaultHttpResponseWriterFactory;
import org.apache.hc.core5.http.impl.nio.ServerHttp1StreamDuplexer;
import org.apache.hc.core5.http.nio.AsyncServerExchangeHandler;
import org.apache.hc.core5.http.nio.ContentDecoder;
import org.apache.hc.core5.http.nio.NHttpMessageParserFactory;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.apache.hc.core5.http.protocol.HttpProcessor;
import org.apache.hc.core5.http.protocol.HttpProcessorBuilder;
import org.apache.hc.core5.http.protocol.ResponseConnControl;
import org.apache.hc.core5.http.protocol.ResponseContent;
import org.apache.hc.core5.http.protocol.ResponseDate;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.reactor.ListenerEndpoint;
import org.apache.hc.core5.reactor.ProtocolIOSession;
import org.apache.hc.core5.util.Timeout;

/** An HTTP/1.1 server on one address. */
public final class HttpListener implements AutoCloseable {

  private static final Logger LOGGER = System.getLogger(HttpListener.class.getName());
  private static final int SWEEPS_PER_TIMEOUT = 2;
  private static final int MAX_HEADER_COUNT = 100;
  private static final int INITIAL_WINDOW_BYTES = 64 << 10;

  /** Leaves the exact check to {@link RequestHeadCheck}, which does not count the framing. */
  private static final int HEAD_BYTES_PER_HEADER_BYTE = 2;

  private final Http1Config config;
  private final NHttpMessageParserFactory<HttpRequest> parserFactory;
  private final HttpProcessor processor =
      HttpProcessorBuilder.create()
          .addAll(new ResponseDate(), new ResponseContent(), new ResponseConnControl())
          .build();
  private final BufferBudget budget;
  private final ConnectionTable connections;
  private final Future<?> idleSweep;
  private final ExecutorService workers;
  private final ExchangeEnvironment environment;
  private final Set<Thread> ioThreads = ConcurrentHashMap.newKeySet();
  private final HttpAsyncServer server;
  private final InetSocketAddress address;

  /**
   * Starts a server whose clients have a memory budget of their own.
   *
   * @param name prefix of the thread names
   * @throws IOException if the address cannot be bound
   */
  public HttpListener(
      String name,
      InetSocketAddress address,
      ServerLimits limits,
      RequestHandler handler,
      Timing timing,
      int threads)
      throws IOException {
    this(name, address, limits, CallerMemory.of(limits), handler, timing, threads);
  }

  /**
   * Starts a server.
   *
   * @param name prefix of the thread names
   * @param memory the memory for the clients of all servers of the process
   * @throws IOException if the address cannot be bound
   */
  public HttpListener(
      String name,
      InetSocketAddress address,
      ServerLimits limits,
      CallerMemory memory,
      RequestHandler handler,
      Timing timing,
      int threads)
      throws IOException {
    config = config(limits);
    parserFactory =
        CompleteHeadParser.factory(
            new DefaultHttpRequestParserFactory(
                config, new RequestTargetFactory(), /* lineParser= */ null),
            HEAD_BYTES_PER_HEADER_BYTE * limits.maximumHeaderBytes());
    budget = new BufferBudget(limits.maximumBufferedBytes());
    connections = new ConnectionTable(limits, memory, timing);
    workers =
        Executors.newFixedThreadPool(
            threads,
            new ThreadFactoryBuilder().setNameFormat(name + "-%d").setDaemon(true).build());
    environment =
        new ExchangeEnvironment(limits, handler, workers, budget, memory, connections, timing);
    server = newServer(name, threads);
    this.address = listen(address);
    idleSweep =
        timing.scheduleRepeatedly(
            Comparators.min(limits.idleTimeout(), limits.readTimeout())
                .dividedBy(SWEEPS_PER_TIMEOUT),
            connections::closeOverdue);
  }

  /** Returns the bound address. */
  public InetSocketAddress address() {
    return address;
  }

  /** Returns the bytes of request bodies in memory. */
  public long bufferedBytes() {
    return budget.heldBytes();
  }

  /** Returns the number of dispatched requests whose response is not completely written yet. */
  public long openResponses() {
    return connections.openResponses();
  }

  /**
   * Returns whether the threads that accept connections and serve them are alive. The library ends
   * them without further notice when accepting fails or an error is thrown.
   */
  public boolean isServing() {
    Set<ListenerEndpoint> endpoints = server.getEndpoints();
    return !endpoints.isEmpty()
        && endpoints.stream().noneMatch(ListenerEndpoint::isClosed)
        && ioThreads.stream().allMatch(Thread::isAlive);
  }

  /** Closes connections without a request for {@code idleTime}; used before a planned stop. */
  public void closeIdle(Duration idleTime) {
    connections.closeIdleFor(idleTime);
  }

  /** Returns the number of open connections. */
  public int connectionCount() {
    return connections.size();
  }

  @Override
  public void close() {
    idleSweep.cancel(false);
    stopThreads();
  }

  private void stopThreads() {
    server.close(CloseMode.IMMEDIATE);
    workers.shutdownNow();
  }

  private InetSocketAddress listen(InetSocketAddress requestedAddress) throws IOException {
    server.start();
    try {
      ListenerEndpoint endpoint = server.listen(requestedAddress, URIScheme.HTTP).get();
      return (InetSocketAddress) endpoint.getAddress();
    } catch (ExecutionException e) {
      stopThreads();
      throw new IOException("cannot listen at " + requestedAddress, e.getCause());
    } catch (InterruptedException e) {
      stopThreads();
      Thread.currentThread().interrupt();
      throw new IOException("interrupted while binding " + requestedAddress, e);
    }
  }

  private HttpAsyncServer newServer(String name, int threads) {
    IOReactorConfig reactorConfig =
        IOReactorConfig.custom()
            .setIoThreadCount(threads)
            .setSoReuseAddress(true)
            .setTcpNoDelay(true)
            .setSelectInterval(Timeout.ofMilliseconds(100))
            .build();
    return new HttpAsyncServer(
        (session, attachment) -> newConnection(session),
        reactorConfig,
        null,
        failure ->
            LOGGER.log(
                Level.DEBUG, "http: I/O error on listener {0}: {1}", name, failure.toString()),
        connections,
        null,
        null,
        null);
  }

  private IOEventHandler newConnection(ProtocolIOSession session) {
    ClientConnectionObserver observer =
        new ClientConnectionObserver(connections, session.getRemoteAddress(), environment.timing());
    ioThreads.add(Thread.currentThread());
    return new BackpressureEventHandler(
        new BoundedDuplexer(new BoundedFillSession(session), observer), observer);
  }

  /** A connection that reads trailers of bounded size. */
  private final class BoundedDuplexer extends ServerHttp1StreamDuplexer {

    BoundedDuplexer(ProtocolIOSession session, TolerantRequestParser.Observer observer) {
      super(
          session,
          processor,
          HttpListener.this::newExchange,
          URIScheme.HTTP.id,
          config,
          CharCodingConfig.DEFAULT,
          DefaultConnectionReuseStrategy.INSTANCE,
          new TolerantRequestParser(parserFactory.create(), observer),
          DefaultHttpResponseWriterFactory.INSTANCE.create(),
          DefaultContentLengthStrategy.INSTANCE,
          DefaultContentLengthStrategy.INSTANCE,
          /* streamListener= */ null,
          failure -> LOGGER.log(Level.DEBUG, "http: connection failed: {0}", failure.toString()));
    }

    @Override
    protected ContentDecoder createContentDecoder(
        long length,
        ReadableByteChannel channel,
        SessionInputBuffer input,
        BasicHttpTransportMetrics metrics)
        throws HttpException {
      return BoundedChunkDecoder.bound(
          channel,
          input,
          HEAD_BYTES_PER_HEADER_BYTE * environment.limits().maximumHeaderBytes(),
          counted -> super.createContentDecoder(length, counted, input, metrics));
    }
  }

  private static Http1Config config(ServerLimits limits) {
    return Http1Config.custom()
        .setMaxLineLength(limits.maximumHeaderBytes())
        .setMaxHeaderCount(MAX_HEADER_COUNT)
        .setBufferSize(CallerMemory.CONNECTION_BUFFER_BYTES)
        .setInitialWindowSize(INITIAL_WINDOW_BYTES)
        .build();
  }

  private AsyncServerExchangeHandler newExchange(HttpRequest request, HttpContext context) {
    SocketAddress remote = HttpCoreContext.cast(context).getEndpointDetails().getRemoteAddress();
    return new ServerExchange(environment, remote);
  }
}
