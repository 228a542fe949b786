package dev.apricotmill.daemon.http;

import dev.apricotmill.coordination.memory.BufferBudget;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.apache.hc.core5.reactor.IOSession;

/** An open connection of a client. */
final class ClientConnection {

  private final IOSession session;
  private final boolean overLimit;
  private final BufferBudget.Account connectionAccount;
  private final BufferBudget.Account headAccount;

  /** More than one if the caller does not wait for a response before its next request. */
  private final Set<ServerExchange> exchanges = ConcurrentHashMap.newKeySet();

  private volatile long idleSinceNanos;
  private volatile boolean headUnfinished;
  private volatile long headSinceNanos;
  private long reservedForHead;
  private long largestHead;

  /**
   * Creates a connection without a request.
   *
   * @param overLimit whether its requests are refused
   * @param connectionAccount the memory of the connection itself
   * @param headAccount the memory of a head that is not complete
   */
  ClientConnection(
      IOSession session,
      boolean overLimit,
      BufferBudget.Account connectionAccount,
      BufferBudget.Account headAccount,
      long nowNanos) {
    this.session = session;
    this.overLimit = overLimit;
    this.connectionAccount = connectionAccount;
    this.headAccount = headAccount;
    idleSinceNanos = nowNanos;
  }

  IOSession session() {
    return session;
  }

  boolean isOverLimit() {
    return overLimit;
  }

  BufferBudget.Account connectionAccount() {
    return connectionAccount;
  }

  Set<ServerExchange> exchanges() {
    return exchanges;
  }

  void begin(ServerExchange exchange) {
    exchanges.add(exchange);
  }

  void end(ServerExchange exchange, long nowNanos) {
    idleSinceNanos = nowNanos;
    exchanges.remove(exchange);
  }

  /** Returns whether no further request may be read before one is answered. */
  boolean isPipelineFull() {
    return exchanges.size() >= CallerMemory.MAX_UNANSWERED_REQUESTS;
  }

  /**
   * Records the size of the head that is being received, 0 if none is; called by the I/O thread.
   * Returns whether there is memory for it.
   */
  boolean holdHead(long bytes, long nowNanos) {
    if (bytes > 0 && !headUnfinished) {
      headSinceNanos = nowNanos;
    }
    headUnfinished = bytes > 0;
    largestHead = Math.max(largestHead, bytes);
    // The library's buffer may have grown to the largest head, and does not shrink again.
    long needed =
        Math.max(0, largestHead - CallerMemory.CONNECTION_BUFFER_BYTES)
            + CallerMemory.MEMORY_PER_HEAD_BYTE * bytes;
    if (needed > reservedForHead && !headAccount.reserve(needed - reservedForHead)) {
      return false;
    }
    if (needed < reservedForHead) {
      headAccount.release(reservedForHead - needed);
    }
    reservedForHead = needed;
    return true;
  }

  /** Returns whether nothing was received, or only a part of a head, since that time. */
  boolean isIdleSince(long nanos) {
    return exchanges.isEmpty() && idleSinceNanos - nanos < 0;
  }

  /** Returns whether a head is incomplete that began before that time. */
  boolean isHeadUnfinishedSince(long nanos) {
    return headUnfinished && exchanges.isEmpty() && headSinceNanos - nanos < 0;
  }

  /** Returns whether the connection carries no request that may be running. */
  boolean isDispensable() {
    return exchanges.stream().noneMatch(ServerExchange::isDispatched);
  }

  long idleSinceNanos() {
    return idleSinceNanos;
  }

  void releaseMemory() {
    headAccount.close();
  }
}
