package dev.apricotmill.daemon.http;

import dev.apricotmill.coordination.time.Timing;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.SocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.IOSessionListener;
import org.jspecify.annotations.Nullable;

/**
 * The open connections of a server. Those beyond the limit get no request through, those far beyond
 * it are closed at once, and those that bring no request in time are closed too.
 */
final class ConnectionTable implements IOSessionListener {

  private static final Logger LOGGER = System.getLogger(ConnectionTable.class.getName());
  private static final int HARD_LIMIT_FACTOR = 2;

  private final ServerLimits limits;
  private final Timing timing;
  private final Map<SocketAddress, Entry> entries = new ConcurrentHashMap<>();

  ConnectionTable(ServerLimits limits, Timing timing) {
    this.limits = limits;
    this.timing = timing;
  }

  /** Returns how many connections are open. */
  int size() {
    return entries.size();
  }

  /** Returns how many requests were handed on whose answers the sockets have not taken whole. */
  long openResponses() {
    return entries.values().stream().filter(Entry::awaitsResponse).count();
  }

  /** Notes that a connection has brought a request; returns whether it may be served. */
  boolean beginRequest(SocketAddress remote, ServerExchange exchange) {
    Entry entry = entries.get(remote);
    if (entry == null) {
      return true;
    }
    entry.exchange = exchange;
    return !entry.overLimit;
  }

  /** Notes that the answer to a connection's request has ended. */
  void endRequest(SocketAddress remote) {
    Entry entry = entries.get(remote);
    if (entry != null) {
      entry.idleSinceNanos = timing.nanoTime();
      entry.exchange = null;
    }
  }

  /** Closes a connection whose caller has gone before its answer was ready. */
  void onEndOfInput(SocketAddress remote) {
    Entry entry = entries.get(remote);
    ServerExchange exchange = entry == null ? null : entry.exchange;
    if (entry != null && exchange != null && !exchange.responseIsQueued()) {
      entry.session.close(CloseMode.IMMEDIATE);
    }
  }

  /** Closes a connection whose caller neither ends its request nor takes its answer. */
  void abort(SocketAddress remote) {
    Entry entry = entries.get(remote);
    if (entry != null) {
      LOGGER.log(Level.DEBUG, "http: closed {0}: its exchange did not end", remote);
      entry.session.close(CloseMode.IMMEDIATE);
    }
  }

  /** Closes connections that have brought no request for the longest idle time. */
  void closeIdle() {
    closeIdleFor(limits.idleTimeout());
  }

  /** Closes connections that have brought no request for {@code idle}. */
  void closeIdleFor(Duration idleTime) {
    long now = timing.nanoTime();
    for (Entry entry : entries.values()) {
      if (entry.exchange == null && now - entry.idleSinceNanos > idleTime.toNanos()) {
        entry.session.close(CloseMode.GRACEFUL);
      }
    }
  }

  @Override
  public void connected(IOSession session) {
    int openCount = entries.size();
    if (openCount >= limits.maximumConnections() * HARD_LIMIT_FACTOR) {
      LOGGER.log(Level.WARNING, "http: closed {0}: too many connections", remoteOf(session));
      session.close(CloseMode.IMMEDIATE);
      return;
    }
    boolean overLimit = openCount >= limits.maximumConnections();
    entries.put(remoteOf(session), new Entry(session, overLimit, timing.nanoTime()));
  }

  @Override
  public void disconnected(IOSession session) {
    entries.values().removeIf(entry -> entry.session.getId().equals(session.getId()));
  }

  @Override
  public void startTls(IOSession session) {}

  @Override
  public void inputReady(IOSession session) {}

  @Override
  public void outputReady(IOSession session) {}

  @Override
  public void timeout(IOSession session) {}

  @Override
  public void exception(IOSession session, Exception cause) {}

  private static SocketAddress remoteOf(IOSession session) {
    return session.getRemoteAddress();
  }

  private static final class Entry {
    private final IOSession session;
    private final boolean overLimit;
    private volatile @Nullable ServerExchange exchange;
    private volatile long idleSinceNanos;

    boolean awaitsResponse() {
      ServerExchange current = exchange;
      return current != null && current.isDispatched();
    }

    Entry(IOSession session, boolean overLimit, long nowNanos) {
      this.session = session;
      this.overLimit = overLimit;
      idleSinceNanos = nowNanos;
    }
  }
}
