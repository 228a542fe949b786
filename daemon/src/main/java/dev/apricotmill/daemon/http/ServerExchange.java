package dev.apricotmill.daemon.http;

import com.google.common.base.Ascii;
import com.google.common.collect.ImmutableMap;
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

/** One request and its answer: reads the request within the limits, then writes the answer. */
final class ServerExchange implements AsyncServerExchangeHandler, Reply, ReplyStream {

  private static final Logger LOGGER = System.getLogger(ServerExchange.class.getName());
  private static final String CONNECTION = "connection";
  private static final String CLOSE = "close";

  private final ExchangeEnvironment environment;
  private final SocketAddress remote;
  private final RequestBody body;
  private final OutgoingPieces pieces = new OutgoingPieces();
  private final AtomicBoolean answered = new AtomicBoolean();
  private final AtomicBoolean gone = new AtomicBoolean();
  private @Nullable HttpRequest request;
  private @Nullable ResponseChannel responses;
  private @Nullable HttpContext context;
  private volatile @Nullable ReplyListener listener;
  private final AtomicReference<@Nullable Future<?>> timer = new AtomicReference<>();
  private final AtomicReference<RequestState> state = new AtomicReference<>(RequestState.READING);

  ServerExchange(ExchangeEnvironment environment, SocketAddress remote) {
    this.environment = environment;
    this.remote = remote;
    body = new RequestBody(environment.limits().maximumBodyBytes(), environment.budget());
  }

  @Override
  public void handleRequest(
      HttpRequest head,
      @Nullable EntityDetails entity,
      ResponseChannel responseChannel,
      HttpContext httpContext)
      throws HttpException, IOException {
    request = head;
    responses = responseChannel;
    context = httpContext;
    if (!environment.connections().beginRequest(remote, this)) {
      refuse(EdgeFault.TOO_MANY_CONNECTIONS);
      return;
    }
    Optional<EdgeFault> fault = RequestHeads.check(head, entity, environment.limits());
    if (fault.isPresent()) {
      refuse(fault.get());
    } else if (entity == null) {
      dispatch();
    } else {
      startTimer(() -> refuse(EdgeFault.TOO_SLOW));
      if (head.containsHeader(HttpHeaders.EXPECT)) {
        responseChannel.sendInformation(new BasicHttpResponse(HttpStatus.SC_CONTINUE), httpContext);
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
    Optional<EdgeFault> fault = body.add(source);
    if (fault.isPresent()) {
      source.position(source.limit());
      refuse(fault.get());
    }
  }

  @Override
  public void streamEnd(@Nullable List<? extends Header> trailers) {
    dispatch();
  }

  /** Returns whether the request was handed on; its exchange then ends with its answer. */
  boolean isDispatched() {
    return state.get() == RequestState.DISPATCHED;
  }

  /** Returns whether the whole answer waits for the socket or has been sent. */
  boolean answerIsQueued() {
    return pieces.ended();
  }

  /** Answers with a fault instead of handing the request on. */
  void refuse(EdgeFault fault) {
    if (!state.compareAndSet(RequestState.READING, RequestState.REFUSED)) {
      return;
    }
    body.release();
    stopTimer();
    send(environment.handler().refuse(fault).withHeader(CONNECTION, CLOSE));
  }

  @Override
  public void watch(ReplyListener newListener) {
    listener = newListener;
    if (gone.get()) {
      newListener.onGone();
    }
  }

  @Override
  public void send(Answer answer) {
    if (!answered.compareAndSet(false, true)) {
      return;
    }
    pieces.add(answer.body());
    end();
    sendHead(answer.status(), answer.headers(), new BasicEntityDetails(answer.body().length, null));
  }

  @Override
  public ReplyStream stream(int status, ImmutableMap<String, String> headers) {
    if (answered.compareAndSet(false, true)) {
      sendHead(status, headers, new BasicEntityDetails(-1, null));
    }
    return this;
  }

  @Override
  public void write(byte[] piece) {
    pieces.add(piece);
  }

  @Override
  public void end() {
    startTimer(() -> environment.connections().abort(remote));
    pieces.end();
  }

  @Override
  public void abort() {
    environment.connections().abort(remote);
  }

  @Override
  public int available() {
    return pieces.available();
  }

  @Override
  public void produce(DataStreamChannel channel) throws IOException {
    int finished = pieces.writeTo(channel);
    ReplyListener current = listener;
    if (finished > 0 && current != null) {
      current.onWritten(finished);
    }
  }

  @Override
  public void failed(Exception cause) {
    LOGGER.log(Level.DEBUG, "http: exchange ended early: {0}", cause.toString());
    notifyGone();
  }

  @Override
  public void releaseResources() {
    stopTimer();
    body.release();
    environment.connections().endRequest(remote);
    if (!pieces.closed()) {
      notifyGone();
    }
  }

  private void notifyGone() {
    ReplyListener current = listener;
    if (gone.compareAndSet(false, true) && current != null) {
      current.onGone();
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
    } catch (RuntimeException e) {
      LOGGER.log(Level.ERROR, "http: a handler failed", e);
      send(Answer.text(500, "text/plain", "internal error"));
    }
  }

  private void sendHead(int status, Map<String, String> headers, EntityDetails entity) {
    HttpResponse response = new BasicHttpResponse(status);
    headers.forEach(response::setHeader);
    ResponseChannel channel = responses;
    if (channel == null) {
      return;
    }
    try {
      channel.sendResponse(response, entity, context);
    } catch (HttpException | IOException e) {
      LOGGER.log(Level.DEBUG, "http: answer could not be sent: {0}", e.toString());
      notifyGone();
    }
  }

  private void startTimer(Runnable task) {
    replaceTimer(environment.timing().schedule(environment.limits().readTimeout(), task));
  }

  private void stopTimer() {
    replaceTimer(null);
  }

  private void replaceTimer(@Nullable Future<?> next) {
    Future<?> before = timer.getAndSet(next);
    if (before != null) {
      before.cancel(false);
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
