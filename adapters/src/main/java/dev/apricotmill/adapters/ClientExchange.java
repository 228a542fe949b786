package dev.apricotmill.adapters;

import dev.apricotmill.coordination.membership.PeerAddress;
import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicReference;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.ProtocolException;
import org.apache.hc.core5.http.impl.BasicEntityDetails;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.apache.hc.core5.http.nio.AsyncClientEndpoint;
import org.apache.hc.core5.http.nio.AsyncClientExchangeHandler;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import org.apache.hc.core5.http.nio.RequestChannel;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.apache.hc.core5.net.URIAuthority;
import org.jspecify.annotations.Nullable;

/**
 * One HTTP exchange, which knows for certain whether a byte of its request can have left.
 *
 * <p>The step to {@link Phase#SENT} is taken before the request is written. An exchange that ends
 * from {@link Phase#WAITING} writes nothing afterwards.
 */
abstract class ClientExchange implements AsyncClientExchangeHandler {

  private static final String HOST = "host";

  private enum Phase {
    WAITING,
    SENT,
    ENDED
  }

  private final PeerAddress peer;
  private final HttpCall call;
  private final ByteBuffer body;
  private final AtomicReference<Phase> phase = new AtomicReference<>(Phase.WAITING);
  private final AtomicReference<@Nullable AsyncClientEndpoint> endpoint = new AtomicReference<>();
  private volatile @Nullable Future<?> timeoutTask;

  ClientExchange(PeerAddress peer, HttpCall call) {
    this.peer = peer;
    this.call = call;
    this.body = ByteBuffer.wrap(call.body());
  }

  /** Takes the head of the answer. */
  abstract void onHead(HttpResponse head) throws IOException;

  /** Takes the end of a whole answer; the connection is already given back. */
  abstract void onComplete();

  /** Takes the failure of the exchange; it is the last call. */
  abstract void onFailure(boolean sent, ExchangeFailure failure);

  final PeerAddress peer() {
    return peer;
  }

  final void setTimeoutTask(Future<?> task) {
    timeoutTask = task;
    if (phase.get() == Phase.ENDED) {
      task.cancel(false);
    }
  }

  /** Runs the exchange on a leased connection, or gives that back if the exchange has ended. */
  final void runOn(AsyncClientEndpoint leased) {
    endpoint.set(leased);
    if (phase.get() == Phase.ENDED) {
      releaseConnection(true);
      return;
    }
    try {
      leased.execute(this, HttpCoreContext.create());
    } catch (IllegalStateException released) {
      // The exchange ended between the check and here, and its end released the connection.
      abort(ExchangeFailure.CONNECTION_LOST);
    }
  }

  /** Ends the exchange and closes its connection, unless it has ended. */
  final void abort(ExchangeFailure failure) {
    Phase before = phase.getAndSet(Phase.ENDED);
    if (before != Phase.ENDED) {
      releaseConnection(false);
      onFailure(before == Phase.SENT, failure);
    }
  }

  /** Ends the exchange without a report; returns whether the request may have left. */
  final boolean abandon() {
    Phase before = phase.getAndSet(Phase.ENDED);
    if (before != Phase.ENDED) {
      releaseConnection(false);
    }
    return before == Phase.SENT;
  }

  private void complete() {
    if (phase.getAndSet(Phase.ENDED) != Phase.ENDED) {
      releaseConnection(true);
      onComplete();
    }
  }

  private void releaseConnection(boolean reuse) {
    Future<?> task = timeoutTask;
    if (task != null) {
      task.cancel(false);
    }
    AsyncClientEndpoint leased = endpoint.getAndSet(null);
    if (leased == null) {
      return;
    }
    // A peer that answers before it has read the body takes what follows for the rest of it.
    if (reuse && !body.hasRemaining()) {
      leased.releaseAndReuse();
    } else {
      leased.releaseAndDiscard();
    }
  }

  @Override
  public final void produceRequest(RequestChannel channel, HttpContext context)
      throws HttpException, IOException {
    if (!phase.compareAndSet(Phase.WAITING, Phase.SENT)) {
      throw new ConnectionClosedException("the exchange has ended");
    }
    BasicHttpRequest request = new BasicHttpRequest(call.method(), call.path());
    request.setScheme("http");
    request.setAuthority(authority());
    call.headers().forEach(request::setHeader);
    channel.sendRequest(request, entity(), context);
  }

  @Override
  public final int available() {
    return body.remaining();
  }

  private @Nullable EntityDetails entity() {
    int length = call.body().length;
    return length == 0 ? null : new BasicEntityDetails(length, call.contentType());
  }

  private URIAuthority authority() throws HttpException {
    String host = call.headers().get(HOST);
    if (host == null) {
      return new URIAuthority(peer.host(), peer.port());
    }
    try {
      return URIAuthority.create(host);
    } catch (URISyntaxException e) {
      throw new ProtocolException("host " + host, e);
    }
  }

  @Override
  public final void produce(DataStreamChannel channel) throws IOException {
    channel.write(body);
    if (!body.hasRemaining()) {
      channel.endStream();
    }
  }

  @Override
  public final void consumeInformation(HttpResponse response, HttpContext context) {}

  @Override
  public final void consumeResponse(
      HttpResponse response, @Nullable EntityDetails details, HttpContext context)
      throws IOException {
    onHead(response);
    if (details == null) {
      complete();
    }
  }

  @Override
  public final void streamEnd(@Nullable List<? extends Header> trailers) {
    complete();
  }

  @Override
  public final void failed(Exception cause) {
    abort(
        cause instanceof HttpException && !(cause instanceof ConnectionClosedException)
            ? ExchangeFailure.MALFORMED
            : ExchangeFailure.CONNECTION_LOST);
  }

  @Override
  public final void cancel() {
    abort(ExchangeFailure.CONNECTION_LOST);
  }

  @Override
  public final void releaseResources() {
    abort(ExchangeFailure.CONNECTION_LOST);
  }
}
