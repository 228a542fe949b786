package dev.apricotmill.daemon.inner;

import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.coordination.time.Timing;
import dev.apricotmill.protocol.ClientStream;
import dev.apricotmill.protocol.InnerClient;
import dev.apricotmill.protocol.ResponseListener;
import dev.apricotmill.protocol.StreamLoss;
import dev.apricotmill.protocol.generated.Request;
import dev.apricotmill.protocol.generated.Response;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

/** Sends requests that have a single response to other nodes. */
public final class InnerUnaryClient {

  private final InnerClient client;
  private final Timing timing;

  /** Creates the client side. */
  public InnerUnaryClient(InnerClient client, Timing timing) {
    this.client = client;
    this.timing = timing;
  }

  /**
   * Sends a request.
   *
   * @param callback called once, on any thread, with the response; empty if none arrived in time
   */
  void call(
      PeerAddress peer, Request request, Duration timeout, Consumer<Optional<Response>> callback) {
    PendingCall pendingCall = new PendingCall(callback);
    ClientStream stream = client.open(address(peer), request, pendingCall);
    timing.schedule(
        timeout,
        () -> {
          if (pendingCall.complete(Optional.empty())) {
            stream.cancel();
          }
        });
  }

  /** Sends a request whose response is ignored; it is not retried if it is lost. */
  void sendOneWay(PeerAddress peer, Request request) {
    client.open(address(peer), request, new PendingCall(ignored -> {}));
  }

  private static InetSocketAddress address(PeerAddress peer) {
    return new InetSocketAddress(peer.host(), peer.port());
  }

  /** Completes once: by the response, the loss of the stream or the timeout. */
  private static final class PendingCall implements ResponseListener {

    private final Consumer<Optional<Response>> callback;
    private final AtomicBoolean completed = new AtomicBoolean();

    PendingCall(Consumer<Optional<Response>> callback) {
      this.callback = callback;
    }

    boolean complete(Optional<Response> response) {
      boolean first = completed.compareAndSet(false, true);
      if (first) {
        callback.accept(response);
      }
      return first;
    }

    @Override
    public void onResponse(Response response) {
      complete(Optional.empty());
    }

    @Override
    public void onEnd(Response response) {
      complete(Optional.of(response));
    }

    @Override
    public void onLoss(StreamLoss loss) {
      complete(Optional.empty());
    }
  }
}
