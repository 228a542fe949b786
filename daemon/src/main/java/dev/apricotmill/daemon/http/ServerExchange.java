package dev.apricotmill.daemon.http;

import com.google.common.base.Ascii;
import com.google.common.collect.ImmutableMap;
import dev.apricotmill.coordination.memory.BufferBudget;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.impl.BasicEntityDetails;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.apache.hc.core5.http.nio.AsyncServerExchangeHandler;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import org.apache.hc.core5.http.nio.ResponseChannel;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.jspecify.annotations.Nullable;

/** One request and its response: reads the request within the limits, then writes the response. */
final class ServerExchange implements AsyncServerExchangeHandler, ResponseSender, ResponseStream {

  private static final Logger LOGGER = System.getLogger(ServerExchange.class.getName());
  private static final String CONNECTION = "connection";
  private static final String CLOSE = "close";

  private final ExchangeEnvironment environment;
  private final SocketAddress remote;
  private final RequestBody body;
  private final BufferBudget.Account headAccount;
  private final BufferBudget.Account responseAccount;
  private final OutgoingChunks chunks;
  private final AtomicBoolean responseStarted = new AtomicBoolean();
  private final AtomicBoolean disconnectNotified = new AtomicBoolean();
  private @Nullable HttpRequest request;
  private @Nullable ResponseChannel responseChannel;
  private @Nullable HttpContext context;
  private volatile @Nullable ResponseProgressListener listener;
  private volatile boolean disconnected;
  private final AtomicReference<@Nullable Future<?>> timer = new AtomicReference<>();
  private final AtomicReference<RequestState> state = new AtomicReference<>(RequestState.READING);

  ServerExchange(ExchangeEnvironment environment, SocketAddress remote) {
    this.environment = environment;
    this.remote = remote;
    BufferBudget processBudget = environment.memory().budget();
    body =
        new RequestBody(
            environment.limits().maximumBodyBytes(),
            environment.budget(),
            processBudget,
            () -> refuse(EarlyRefusal.NO_BUFFER));
    headAccount = processBudget.open();
    responseAccount = processBudget.openRevocable(this::closeForMemory);
    chunks = new OutgoingChunks(responseAccount);
  }

  @Override
  public void handleRequest(
      HttpRequest head,
      @Nullable EntityDetails entity,
      ResponseChannel channel,
      HttpContext httpContext)
      throws HttpException, IOException {
    request = head;
    responseChannel = channel;
    context = httpContext;
    if (!environment.connections().beginRequest(remote, this)) {
      refuse(EarlyRefusal.TOO_MANY_CONNECTIONS);
      return;
    }
    Optional<EarlyRefusal> refusal = RequestHeadCheck.check(head, entity, environment.limits());
    if (refusal.isEmpty() && !headAccount.reserve(RequestHeadCheck.memoryOf(head))) {
      refusal = Optional.of(EarlyRefusal.NO_BUFFER);
    }
    if (refusal.isPresent()) {
      refuse(refusal.get());
    } else if (entity == null) {
      dispatch();
    } else {
      startTimer(() -> refuse(EarlyRefusal.TOO_SLOW));
      if (head.containsHeader(HttpHeaders.EXPECT)) {
        channel.sendInformation(new BasicHttpResponse(HttpStatus.SC_CONTINUE), httpContext);
      }
    }
  }

  @Override
  public void updateCapacity(CapacityChannel capacity) throws IOException {
    capacity.update(Integer.MAX_VALUE);
  }

  @Override
  public void consume(ByteBuffer source) {
    if (state.get() != RequestState.READING) {
      source.position(source.limit());
      return;
    }
    Optional<EarlyRefusal> refusal = body.add(source);
    if (refusal.isPresent()) {
      source.position(source.limit());
      refuse(refusal.get());
    }
  }

  @Override
  public void streamEnd(@Nullable List<? extends Header> trailers) {
    dispatch();
  }

  /** Returns whether the request was dispatched; the exchange then ends with its response. */
  boolean isDispatched() {
    return state.get() == RequestState.DISPATCHED;
  }

  /** Returns whether the complete response is queued for the socket or written. */
  boolean responseIsQueued() {
    return chunks.ended();
  }

  /** Sends a refusal unless the request was already dispatched or refused. */
  void refuse(EarlyRefusal refusal) {
    if (!state.compareAndSet(RequestState.READING, RequestState.REFUSED)) {
      return;
    }
    body.release();
    stopTimer();
    refusal.limit().ifPresent(environment.memory()::report);
    send(environment.handler().refuse(refusal).withHeader(CONNECTION, CLOSE));
  }

  @Override
  public void setListener(ResponseProgressListener newListener) {
    listener = newListener;
    if (disconnected) {
      notifyListener(newListener);
    }
  }

  @Override
  public void send(CompleteResponse complete) {
    if (!responseStarted.compareAndSet(false, true)) {
      return;
    }
    if (complete.body().length > 0 && !chunks.add(complete.body())) {
      closeForMemory();
      return;
    }
    end();
    sendHead(
        complete.status(),
        complete.headers(),
        new BasicEntityDetails(complete.body().length, null));
  }

  @Override
  public ResponseStream startStream(int status, ImmutableMap<String, String> headers) {
    if (responseStarted.compareAndSet(false, true)) {
      sendHead(status, headers, new BasicEntityDetails(-1, null));
    }
    return this;
  }

  @Override
  public void write(byte[] chunk) {
    if (!chunks.add(chunk)) {
      closeForMemory();
    }
  }

  /** Closes the connection, which states nothing about whether the request ran. */
  private void closeForMemory() {
    if (!disconnected) {
      environment.memory().report(ClientLimit.MEMORY);
      abort();
    }
  }

  @Override
  public void end() {
    startTimer(this::closeUnread);
    if (disconnected) {
      // Another connection may have the address by the time the timer fires.
      stopTimer();
    }
    chunks.end();
  }

  private void closeUnread() {
    environment.memory().report(ClientLimit.UNREAD_RESPONSE);
    abort();
  }

  @Override
  public void abort() {
    environment.connections().abort(remote);
  }

  @Override
  public int available() {
    return chunks.available();
  }

  @Override
  public void produce(DataStreamChannel channel) throws IOException {
    int finishedChunks = chunks.writeTo(channel);
    ResponseProgressListener current = listener;
    if (finishedChunks > 0 && current != null) {
      current.onWritten(finishedChunks);
    }
  }

  @Override
  public void failed(Exception cause) {
    LOGGER.log(Level.DEBUG, "http: exchange failed: {0}", cause.toString());
    notifyDisconnected();
  }

  @Override
  public void releaseResources() {
    stopTimer();
    body.release();
    headAccount.close();
    responseAccount.close();
    environment.connections().endRequest(remote, this);
    if (!chunks.endWritten()) {
      notifyDisconnected();
    }
  }

  private void notifyDisconnected() {
    disconnected = true;
    ResponseProgressListener current = listener;
    if (current != null) {
      notifyListener(current);
    }
  }

  private void notifyListener(ResponseProgressListener current) {
    if (disconnectNotified.compareAndSet(false, true)) {
      current.onDisconnected();
    }
  }

  private void dispatch() {
    HttpRequest head = request;
    if (head == null || !state.compareAndSet(RequestState.READING, RequestState.DISPATCHED)) {
      return;
    }
    stopTimer();
    IncomingRequest incoming =
        new IncomingRequest(head.getMethod(), head.getPath(), headersOf(head), body.takeBytes());
    environment.workers().execute(() -> handle(incoming));
  }

  private void handle(IncomingRequest incoming) {
    try {
      environment.handler().handle(incoming, this);
    } catch (RuntimeException | StackOverflowError e) {
      // The content of one request may not end the process, which other errors of a thread do.
      LOGGER.log(
          Level.ERROR,
          "http: request handler failed; responding with 500 if no response has started",
          e);
      send(CompleteResponse.text(500, "text/plain", "internal error"));
    }
  }

  private void sendHead(int status, Map<String, String> headers, EntityDetails entity) {
    HttpResponse response = new BasicHttpResponse(status);
    headers.forEach(response::setHeader);
    ResponseChannel channel = responseChannel;
    if (channel == null) {
      return;
    }
    try {
      channel.sendResponse(response, entity, context);
    } catch (HttpException | IOException e) {
      LOGGER.log(Level.DEBUG, "http: sending the response head failed: {0}", e.toString());
      notifyDisconnected();
    }
  }

  private void startTimer(Runnable task) {
    replaceTimer(environment.timing().schedule(environment.limits().readTimeout(), task));
  }

  private void stopTimer() {
    replaceTimer(null);
  }

  private void replaceTimer(@Nullable Future<?> next) {
    Future<?> previous = timer.getAndSet(next);
    if (previous != null) {
      previous.cancel(false);
    }
  }

  private enum RequestState {
    READING,
    DISPATCHED,
    REFUSED
  }

  private static ImmutableMap<String, String> headersOf(HttpRequest head) {
    Map<String, String> headers = new LinkedHashMap<>();
    for (Header header : head.getHeaders()) {
      headers.merge(
          Ascii.toLowerCase(header.getName()),
          header.getValue() == null ? "" : header.getValue(),
          (first, second) -> first + ", " + second);
    }
    return ImmutableMap.copyOf(headers);
  }
}
