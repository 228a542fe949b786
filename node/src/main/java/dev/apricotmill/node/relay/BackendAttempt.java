package dev.apricotmill.node.relay;

import dev.apricotmill.core.relay.BackendServer;
import java.util.concurrent.Executor;
import org.jspecify.annotations.Nullable;

/** One send to one server. Reports of a send that is over count no more. */
final class BackendAttempt implements BackendClient.Listener {

  /** Takes the reports of a send, on the relay's executor. */
  interface Listener {
    /** Takes the head of the answer. */
    void onHead(BackendAttempt attempt, BackendClient.Head head);

    /** Takes a piece of the body. */
    void onBody(BackendAttempt attempt, byte[] chunk);

    /** Learns that the answer is whole. */
    void onEnd(BackendAttempt attempt);

    /** Learns that no whole answer will come. */
    void onFailure(BackendAttempt attempt, boolean maybeSent, String reason);
  }

  private final BackendServer server;
  private final Executor executor;
  private final Listener listener;
  private BackendClient.@Nullable Exchange exchange;
  private boolean closed;
  private boolean firstEventSeen;

  BackendAttempt(BackendServer server, Executor executor, Listener reports) {
    this.server = server;
    this.executor = executor;
    this.listener = reports;
  }

  void start(BackendClient backends, BackendClient.BackendRequest request) {
    exchange = backends.send(request, this);
  }

  BackendServer server() {
    return server;
  }

  boolean isClosed() {
    return closed;
  }

  /** Ends the send; an exchange that still runs goes on unread and keeps its connection. */
  void close() {
    closed = true;
  }

  /** Ends the send and closes its connection. */
  void cancel() {
    close();
    BackendClient.Exchange open = exchange;
    if (open != null) {
      open.cancel();
    }
  }

  /** Reads no more of the answer until {@link #resumeReading}. */
  void pauseReading() {
    BackendClient.Exchange open = exchange;
    if (open != null) {
      open.pauseReading();
    }
  }

  /** Reads on. */
  void resumeReading() {
    BackendClient.Exchange open = exchange;
    if (open != null) {
      open.resumeReading();
    }
  }

  /** Returns true once: when the first event of the answer has come. */
  boolean markFirstEvent() {
    boolean first = !firstEventSeen;
    firstEventSeen = true;
    return first;
  }

  @Override
  public void onHead(BackendClient.Head head) {
    run(() -> listener.onHead(this, head));
  }

  @Override
  public void onBody(byte[] chunk) {
    run(() -> listener.onBody(this, chunk));
  }

  @Override
  public void onEnd() {
    run(() -> listener.onEnd(this));
  }

  @Override
  public void onFailure(boolean maybeSent, String reason) {
    run(() -> listener.onFailure(this, maybeSent, reason));
  }

  private void run(Runnable task) {
    executor.execute(
        () -> {
          if (!closed) {
            task.run();
          }
        });
  }
}
