package dev.apricotmill.daemon.http;

import dev.apricotmill.coordination.time.Timing;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.SocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.apache.hc.core5.http.nio.command.ShutdownCommand;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.Command;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.IOSessionListener;

/**
 * The open connections of a server, with their limits. Requests on a connection above the limit are
 * refused. A connection above the hard limit is closed when it is accepted. A connection that is
 * idle for too long is closed.
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

  int size() {
    return entries.size();
  }

  /** Returns the number of dispatched requests whose response is not completely written yet. */
  long openResponses() {
    return entries.values().stream()
        .flatMap(entry -> entry.exchanges.stream())
        .filter(ServerExchange::isDispatched)
        .count();
  }

  /** Records that a request arrived on a connection; returns whether it may be served. */
  boolean beginRequest(SocketAddress remote, ServerExchange exchange) {
    Entry entry = entries.get(remote);
    if (entry == null) {
      return true;
    }
    entry.exchanges.add(exchange);
    return !entry.overLimit;
  }

  /** Records that an exchange on a connection has ended; the idle time starts with the last one. */
  void endRequest(SocketAddress remote, ServerExchange exchange) {
    Entry entry = entries.get(remote);
    if (entry != null) {
      entry.idleSinceNanos = timing.nanoTime();
      entry.exchanges.remove(exchange);
    }
  }

  /** Closes a connection whose caller ended its side before the response was fully queued. */
  void onEndOfInput(SocketAddress remote) {
    Entry entry = entries.get(remote);
    if (entry != null && !entry.exchanges.stream().allMatch(ServerExchange::responseIsQueued)) {
      entry.session.close(CloseMode.IMMEDIATE);
    }
  }

  /** Closes a connection whose response was aborted or is not read in time. */
  void abort(SocketAddress remote) {
    Entry entry = entries.get(remote);
    if (entry != null) {
      LOGGER.log(Level.DEBUG, "http: closed {0}: response aborted or not read in time", remote);
      entry.session.close(CloseMode.IMMEDIATE);
    }
  }

  /** Closes connections without a request for longer than the idle timeout. */
  void closeIdle() {
    closeIdleFor(limits.idleTimeout());
  }

  /** Closes connections without a request for longer than {@code idleTime}. */
  void closeIdleFor(Duration idleTime) {
    long now = timing.nanoTime();
    for (Entry entry : entries.values()) {
      if (entry.exchanges.isEmpty() && now - entry.idleSinceNanos > idleTime.toNanos()) {
        // The I/O thread closes it, unless it has begun to read a request by then.
        entry.session.enqueue(ShutdownCommand.GRACEFUL, Command.Priority.NORMAL);
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

    /** More than one if the caller does not wait for a response before its next request. */
    private final Set<ServerExchange> exchanges = ConcurrentHashMap.newKeySet();

    private volatile long idleSinceNanos;

    Entry(IOSession session, boolean overLimit, long nowNanos) {
      this.session = session;
      this.overLimit = overLimit;
      idleSinceNanos = nowNanos;
    }
  }
}
