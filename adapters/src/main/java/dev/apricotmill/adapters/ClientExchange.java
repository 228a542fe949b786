package dev.apricotmill.adapters;

import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.coordination.time.ResponseTimer;
import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.MessageConstraintException;
import org.apache.hc.core5.http.ProtocolException;
import org.apache.hc.core5.http.impl.BasicEntityDetails;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.apache.hc.core5.http.nio.AsyncClientExchangeHandler;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import org.apache.hc.core5.http.nio.RequestChannel;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.apache.hc.core5.net.URIAuthority;
import org.jspecify.annotations.Nullable;

/**
 * One HTTP exchange. Records reliably whether any byte of its request can have been sent.
 *
 * <p>The phase becomes {@link Phase#SENT} before the request is written. An exchange that goes from
 * {@link Phase#WAITING} to {@link Phase#ENDED} never writes anything.
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
  private final AtomicReference<@Nullable LeasedConnection> connection = new AtomicReference<>();
  private volatile @Nullable ResponseTimer timer;

  ClientExchange(PeerAddress peer, HttpCall call) {
    this.peer = peer;
    this.call = call;
    this.body = ByteBuffer.wrap(call.body());
  }

  /** Handles the head of the response. */
  abstract void onHead(HttpResponse head) throws IOException;

  /** Called when the response is complete; the connection has already been released. */
  abstract void onComplete();

  /** Called as the last method if the exchange failed. */
  abstract void onFailure(boolean sent, ExchangeFailure failure);

  final PeerAddress peer() {
    return peer;
  }

  final HttpCall call() {
    return call;
  }

  /** Returns whether the connection has carried no exchange before this one. */
  final boolean isFirstOnConnection() {
    LeasedConnection leased = connection.get();
    return leased != null && leased.isFirstExchange();
  }

  final void setTimer(ResponseTimer started) {
    timer = started;
    if (phase.get() == Phase.ENDED) {
      started.close();
    }
  }

  /** Records that a part of the response has arrived. */
  final void onProgress() {
    ResponseTimer running = timer;
    if (running != null) {
      running.onProgress();
    }
  }

  /** Runs the exchange on a leased connection, or releases that if the exchange has ended. */
  final void runOn(LeasedConnection leased) {
    connection.set(leased);
    if (phase.get() == Phase.ENDED) {
      if (connection.compareAndSet(leased, null)) {
        leased.returnUnused();
      }
      return;
    }
    leased.execute(this);
  }

  /** Fails the exchange and closes its connection, unless it has already ended. */
  final void abort(ExchangeFailure failure) {
    Phase before = phase.getAndSet(Phase.ENDED);
    if (before != Phase.ENDED) {
      releaseConnection(false);
      onFailure(before == Phase.SENT, failure);
    }
  }

  /** Ends the exchange without a callback; returns whether the request may have been sent. */
  final boolean abandon() {
    Phase before = phase.getAndSet(Phase.ENDED);
    if (before != Phase.ENDED) {
      releaseConnection(false);
    }
    return before == Phase.SENT;
  }

  /** Returns whether the connection may carry another exchange after this complete response. */
  boolean allowsReuse() {
    return true;
  }

  private void complete() {
    if (phase.getAndSet(Phase.ENDED) != Phase.ENDED) {
      releaseConnection(allowsReuse());
      onComplete();
    }
  }

  private void releaseConnection(boolean reuse) {
    ResponseTimer running = timer;
    if (running != null) {
      running.close();
    }
    LeasedConnection leased = connection.getAndSet(null);
    if (leased == null) {
      return;
    }
    // If the peer responded before it read the complete body, it would take the next request on
    // this connection for the rest of that body.
    if (reuse && !body.hasRemaining()) {
      leased.reuse();
    } else {
      leased.discard();
    }
  }

  @Override
  public final void produceRequest(RequestChannel channel, HttpContext context)
      throws HttpException, IOException {
    if (!phase.compareAndSet(Phase.WAITING, Phase.SENT)) {
      throw new ConnectionClosedException("exchange ended before its request was sent");
    }
    BasicHttpRequest request = new BasicHttpRequest(call.method(), "/");
    // The constructor would take the first segment of a path with two leading slashes for a host.
    request.setPath(call.path());
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
      throw new ProtocolException("invalid host header: " + host, e);
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
    onProgress();
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
    abort(isMalformed(cause) ? ExchangeFailure.MALFORMED : ExchangeFailure.CONNECTION_LOST);
  }

  /** A peer that sends too much, or a broken response, has not ended: it must not look crashed. */
  private static boolean isMalformed(Exception cause) {
    return cause instanceof MessageConstraintException
        || cause instanceof MalformedResponseException
        || (cause instanceof HttpException && !(cause instanceof ConnectionClosedException));
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
