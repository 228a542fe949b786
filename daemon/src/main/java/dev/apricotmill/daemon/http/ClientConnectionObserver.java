package dev.apricotmill.daemon.http;

import dev.apricotmill.coordination.time.Timing;
import java.net.SocketAddress;

/** Applies the limits of one connection to what its parser reads; used by one I/O thread. */
final class ClientConnectionObserver implements TolerantRequestParser.Observer {

  private final ConnectionTable connections;
  private final SocketAddress remote;
  private final Timing timing;
  private boolean paused;

  ClientConnectionObserver(ConnectionTable connections, SocketAddress remote, Timing timing) {
    this.connections = connections;
    this.remote = remote;
    this.timing = timing;
  }

  /** Returns whether the parser has declined to read a request because the pipeline is full. */
  boolean isPaused() {
    return paused;
  }

  /** Ends the pause if the pipeline has room again; returns whether it did. */
  boolean resume() {
    if (!paused || isFull()) {
      return false;
    }
    paused = false;
    return true;
  }

  private boolean isFull() {
    return connections.find(remote).map(ClientConnection::isPipelineFull).orElse(false);
  }

  @Override
  public boolean isPipelineFull() {
    paused = isFull();
    return paused;
  }

  @Override
  public boolean onUnfinishedHead(long bytes) {
    return connections
        .find(remote)
        .map(connection -> connection.holdHead(bytes, timing.nanoTime()))
        .orElse(true);
  }

  @Override
  public void onEndOfInput() {
    connections.onEndOfInput(remote);
  }
}
