package dev.apricotmill.daemon.http;

import dev.apricotmill.coordination.memory.BufferBudget;
import dev.apricotmill.coordination.time.Timing;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.SocketAddress;
import java.time.Duration;
import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.apache.hc.core5.http.nio.command.ShutdownCommand;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.Command;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.IOSessionListener;

/**
 * The open connections of a server, with their limits. At the limit, the connection that has been
 * without a complete request for longest makes room for a new one; if there is none, requests on
 * the new one are refused. A connection above the hard limit, or without memory, is closed when it
 * is accepted. A connection that is idle, or whose head is unfinished, for too long is closed.
 */
final class ConnectionTable implements IOSessionListener {

  private static final Logger LOGGER = System.getLogger(ConnectionTable.class.getName());
  static final int HARD_LIMIT_FACTOR = 2;

  /** A client that has just connected gets the time to send its request. */
  private static final Duration MIN_AGE_OF_REPLACED = Duration.ofMillis(500);

  private final ServerLimits limits;
  private final CallerMemory memory;
  private final Timing timing;
  private final Map<SocketAddress, ClientConnection> entries = new ConcurrentHashMap<>();

  /** Addresses by the identifier of the session, which no longer tells it once it is closed. */
  private final Map<String, SocketAddress> addresses = new ConcurrentHashMap<>();

  ConnectionTable(ServerLimits limits, CallerMemory memory, Timing timing) {
    this.limits = limits;
    this.memory = memory;
    this.timing = timing;
  }

  /** Returns the connection with this address. */
  Optional<ClientConnection> find(SocketAddress remote) {
    return Optional.ofNullable(entries.get(remote));
  }

  int size() {
    return entries.size();
  }

  /** Returns the number of dispatched requests whose response is not completely written yet. */
  long openResponses() {
    return entries.values().stream()
        .flatMap(entry -> entry.exchanges().stream())
        .filter(ServerExchange::isDispatched)
        .count();
  }

  /** Records that a request arrived on a connection; returns whether it may be served. */
  boolean beginRequest(SocketAddress remote, ServerExchange exchange) {
    ClientConnection entry = entries.get(remote);
    if (entry == null) {
      return true;
    }
    entry.begin(exchange);
    return !entry.isOverLimit();
  }

  /** Records that an exchange on a connection has ended; the idle time starts with the last one. */
  void endRequest(SocketAddress remote, ServerExchange exchange) {
    ClientConnection entry = entries.get(remote);
    if (entry != null) {
      entry.end(exchange, timing.nanoTime());
    }
  }

  /** Closes a connection whose caller ended its side before the response was fully queued. */
  void onEndOfInput(SocketAddress remote) {
    ClientConnection entry = entries.get(remote);
    if (entry != null && !entry.exchanges().stream().allMatch(ServerExchange::responseIsQueued)) {
      entry.session().close(CloseMode.IMMEDIATE);
    }
  }

  /** Closes a connection whose response was aborted or is not read in time. */
  void abort(SocketAddress remote) {
    ClientConnection entry = entries.get(remote);
    if (entry != null) {
      LOGGER.log(Level.DEBUG, "http: closed {0}: response aborted or not read in time", remote);
      entry.session().close(CloseMode.IMMEDIATE);
    }
  }

  /** Closes connections whose head is not received in time, or that are idle for too long. */
  void closeOverdue() {
    long headLimit = timing.nanoTime() - limits.readTimeout().toNanos();
    for (ClientConnection entry : entries.values()) {
      if (entry.isHeadUnfinishedSince(headLimit)) {
        memory.report(ClientLimit.HEAD_TIMEOUT);
        entry.session().close(CloseMode.IMMEDIATE);
      }
    }
    closeIdleFor(limits.idleTimeout());
  }

  /** Closes connections without a request for longer than {@code idleTime}. */
  void closeIdleFor(Duration idleTime) {
    long since = timing.nanoTime() - idleTime.toNanos();
    for (ClientConnection entry : entries.values()) {
      if (entry.isIdleSince(since)) {
        // The I/O thread closes it, unless it has begun to read a request by then.
        entry.session().enqueue(ShutdownCommand.GRACEFUL, Command.Priority.NORMAL);
      }
    }
  }

  @Override
  public void connected(IOSession session) {
    boolean full = entries.size() >= limits.maximumConnections();
    // Clients that hold connections without a request that runs may not keep out all others.
    boolean replaced = full && closeOldestDispensable();
    if (entries.size() >= limits.maximumConnections() * HARD_LIMIT_FACTOR) {
      refuse(session);
      return;
    }
    Optional<BufferBudget.Account> account = memory.openConnection();
    if (account.isEmpty() && closeOldestDispensable()) {
      account = memory.openConnection();
    }
    if (account.isEmpty()) {
      refuse(session);
      return;
    }
    SocketAddress remote = session.getRemoteAddress();
    addresses.put(session.getId(), remote);
    entries.put(
        remote,
        new ClientConnection(
            session, full && !replaced, account.get(), memory.budget().open(), timing.nanoTime()));
  }

  private void refuse(IOSession session) {
    LOGGER.log(Level.WARNING, "http: closed {0}: too many connections", session.getRemoteAddress());
    memory.report(ClientLimit.CONNECTIONS);
    session.close(CloseMode.IMMEDIATE);
  }

  /** Closes the connection that has been without a complete request for longest. */
  private boolean closeOldestDispensable() {
    long before = timing.nanoTime() - MIN_AGE_OF_REPLACED.toNanos();
    Optional<ClientConnection> oldest =
        entries.values().stream()
            .filter(ClientConnection::isDispensable)
            .filter(entry -> entry.idleSinceNanos() - before < 0)
            .min(Comparator.comparingLong(ClientConnection::idleSinceNanos));
    oldest.ifPresent(
        entry -> {
          memory.report(ClientLimit.CONNECTIONS);
          entry.session().close(CloseMode.IMMEDIATE);
          remove(entry.session());
        });
    return oldest.isPresent();
  }

  @Override
  public void disconnected(IOSession session) {
    remove(session);
  }

  private void remove(IOSession session) {
    SocketAddress remote = addresses.remove(session.getId());
    ClientConnection entry = remote == null ? null : entries.get(remote);
    // A later connection may have the address by now.
    if (entry != null && entry.session().getId().equals(session.getId())) {
      entries.remove(remote, entry);
      entry.releaseMemory();
      memory.closeConnection(entry.connectionAccount());
    }
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
}
