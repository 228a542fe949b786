package dev.apricotmill.daemon.inner;

import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.coordination.time.ResponseLimits;
import dev.apricotmill.coordination.time.ResponseTimer;
import dev.apricotmill.coordination.time.Timing;
import dev.apricotmill.protocol.ClientStream;
import dev.apricotmill.protocol.InnerClient;
import dev.apricotmill.protocol.ResponseListener;
import dev.apricotmill.protocol.StreamLoss;
import dev.apricotmill.protocol.generated.Request;
import dev.apricotmill.protocol.generated.Response;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

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
   * @param callback called once, on any thread, with the result
   */
  void call(
      PeerAddress peer, Request request, ResponseLimits limits, Consumer<CallResult> callback) {
    PendingCall pendingCall = new PendingCall(callback);
    ClientStream stream = client.open(address(peer), request, pendingCall);
    pendingCall.setTimer(
        ResponseTimer.start(
            timing,
            limits,
            () -> {
              if (pendingCall.complete(Optional.empty())) {
                stream.cancel();
              }
            }));
  }

  /**
   * The result of a call.
   *
   * @param response the complete response; empty if none arrived in time
   * @param receivedBytes the bytes of an incomplete response that arrived
   */
  record CallResult(Optional<Response> response, long receivedBytes) {}

  /** Sends a request whose response is ignored; it is not retried if it is lost. */
  void sendOneWay(PeerAddress peer, Request request) {
    client.open(address(peer), request, new PendingCall(ignored -> {}));
  }

  private static InetSocketAddress address(PeerAddress peer) {
    return new InetSocketAddress(peer.host(), peer.port());
  }

  /** Completes once: by the response, the loss of the stream or the timeout. */
  private static final class PendingCall implements ResponseListener {

    private final Consumer<CallResult> callback;
    private final AtomicBoolean completed = new AtomicBoolean();
    private final AtomicLong receivedBytes = new AtomicLong();
    private volatile @Nullable ResponseTimer timer;

    PendingCall(Consumer<CallResult> callback) {
      this.callback = callback;
    }

    void setTimer(ResponseTimer started) {
      timer = started;
      if (completed.get()) {
        started.close();
      }
    }

    private void closeTimer() {
      ResponseTimer running = timer;
      if (running != null) {
        running.close();
      }
    }

    boolean complete(Optional<Response> response) {
      boolean first = completed.compareAndSet(false, true);
      if (first) {
        closeTimer();
        callback.accept(new CallResult(response, receivedBytes.get()));
      }
      return first;
    }

    @Override
    public void onPart(int bytes) {
      receivedBytes.addAndGet(bytes);
      ResponseTimer running = timer;
      if (running != null) {
        running.onProgress();
      }
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
