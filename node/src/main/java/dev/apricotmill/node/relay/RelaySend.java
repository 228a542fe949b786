package dev.apricotmill.node.relay;

import dev.apricotmill.core.relay.BackendServer;
import java.util.concurrent.Executor;
import org.jspecify.annotations.Nullable;

/** One send to one server. Reports of a send that is over count no more. */
final class RelaySend implements BackendPort.Listener {

  /** Takes the reports of a send, on the relay's executor. */
  interface Reports {
    /** Takes the head of the answer. */
    void onHead(RelaySend send, BackendPort.Head head);

    /** Takes a piece of the body. */
    void onBody(RelaySend send, byte[] piece);

    /** Learns that the answer is whole. */
    void onEnd(RelaySend send);

    /** Learns that no whole answer will come. */
    void onFailure(RelaySend send, boolean sent, String reason);
  }

  private final BackendServer server;
  private final Executor executor;
  private final Reports reports;
  private BackendPort.@Nullable Exchange exchange;
  private boolean over;
  private boolean started;

  RelaySend(BackendServer server, Executor executor, Reports reports) {
    this.server = server;
    this.executor = executor;
    this.reports = reports;
  }

  void start(BackendPort backends, BackendPort.BackendSend send) {
    exchange = backends.send(send, this);
  }

  BackendServer server() {
    return server;
  }

  boolean isOver() {
    return over;
  }

  /** Ends the send; an exchange that still runs goes on unread and keeps its connection. */
  void close() {
    over = true;
  }

  /** Ends the send and closes its connection. */
  void cancel() {
    close();
    BackendPort.Exchange open = exchange;
    if (open != null) {
      open.cancel();
    }
  }

  /** Reads no more of the answer until {@link #resume}. */
  void hold() {
    BackendPort.Exchange open = exchange;
    if (open != null) {
      open.hold();
    }
  }

  /** Reads on. */
  void resume() {
    BackendPort.Exchange open = exchange;
    if (open != null) {
      open.resume();
    }
  }

  /** Returns true once: when the first event of the answer has come. */
  boolean markStarted() {
    boolean first = !started;
    started = true;
    return first;
  }

  @Override
  public void onHead(BackendPort.Head head) {
    run(() -> reports.onHead(this, head));
  }

  @Override
  public void onBody(byte[] piece) {
    run(() -> reports.onBody(this, piece));
  }

  @Override
  public void onEnd() {
    run(() -> reports.onEnd(this));
  }

  @Override
  public void onFailure(boolean sent, String reason) {
    run(() -> reports.onFailure(this, sent, reason));
  }

  private void run(Runnable task) {
    executor.execute(
        () -> {
          if (!over) {
            task.run();
          }
        });
  }
}
