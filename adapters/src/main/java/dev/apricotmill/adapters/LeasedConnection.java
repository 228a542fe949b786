package dev.apricotmill.adapters;

import java.util.concurrent.atomic.AtomicReference;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.impl.bootstrap.HttpAsyncRequester;
import org.apache.hc.core5.http.nio.AsyncClientExchangeHandler;
import org.apache.hc.core5.http.nio.command.RequestExecutionCommand;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.pool.ConnPool;
import org.apache.hc.core5.pool.PoolEntry;
import org.apache.hc.core5.reactor.Command;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.util.Timeout;

/** A connection of the pool while one exchange uses it. */
final class LeasedConnection {

  private final ConnPool<HttpHost, IOSession> pool;
  private final AtomicReference<PoolEntry<HttpHost, IOSession>> lease;
  private final IOSession session;

  private LeasedConnection(
      ConnPool<HttpHost, IOSession> pool, PoolEntry<HttpHost, IOSession> entry, IOSession session) {
    this.pool = pool;
    this.session = session;
    lease = new AtomicReference<>(entry);
  }

  /**
   * Leases a connection that may carry an exchange, and opens one if there is none.
   *
   * @param timeout bounds the wait for the pool and for the connection
   */
  static void lease(
      HttpAsyncRequester requester,
      ConnPool<HttpHost, IOSession> pool,
      ClientExchange exchange,
      Timeout timeout) {
    HttpHost host = new HttpHost("http", exchange.peer().host(), exchange.peer().port());
    pool.lease(
        host,
        /* state= */ null,
        timeout,
        new ExchangeCallback<>(exchange) {
          @Override
          public void completed(PoolEntry<HttpHost, IOSession> entry) {
            IOSession pooled = entry.getConnection();
            if (pooled != null && BoundedClientHandler.of(pooled).tryBegin(exchange)) {
              exchange.runOn(new LeasedConnection(pool, entry, pooled));
              return;
            }
            entry.discardConnection(CloseMode.IMMEDIATE);
            open(requester, pool, entry, exchange, timeout);
          }
        });
  }

  private static void open(
      HttpAsyncRequester requester,
      ConnPool<HttpHost, IOSession> pool,
      PoolEntry<HttpHost, IOSession> entry,
      ClientExchange exchange,
      Timeout timeout) {
    requester.requestSession(
        entry.getRoute(),
        timeout,
        /* attachment= */ null,
        new ExchangeCallback<>(exchange) {
          @Override
          public void completed(IOSession opened) {
            entry.assignConnection(opened);
            LeasedConnection connection = new LeasedConnection(pool, entry, opened);
            if (BoundedClientHandler.of(opened).tryBegin(exchange)) {
              exchange.runOn(connection);
            } else {
              connection.discard();
              super.failed(new ConnectionClosedException());
            }
          }

          @Override
          public void failed(Exception cause) {
            pool.release(entry, /* reusable= */ false);
            super.failed(cause);
          }

          @Override
          public void cancelled() {
            pool.release(entry, /* reusable= */ false);
            super.cancelled();
          }
        });
  }

  /** Runs an exchange that the connection may carry. */
  void execute(AsyncClientExchangeHandler handler) {
    session.enqueue(
        new RequestExecutionCommand(handler, HttpCoreContext.create()), Command.Priority.NORMAL);
    if (!session.isOpen()) {
      try {
        handler.failed(new ConnectionClosedException());
      } finally {
        handler.releaseResources();
      }
    }
  }

  /** Returns whether the connection has carried no exchange before this one. */
  boolean isFirstExchange() {
    return BoundedClientHandler.of(session).isFirstExchange();
  }

  /** Ends the lease of an exchange that has sent nothing. */
  void returnUnused() {
    PoolEntry<HttpHost, IOSession> entry = lease.getAndSet(null);
    if (entry != null) {
      pool.release(entry, BoundedClientHandler.of(session).cancelExchange());
    }
  }

  /** Ends the lease after a complete exchange; the connection may carry others. */
  void reuse() {
    PoolEntry<HttpHost, IOSession> entry = lease.getAndSet(null);
    if (entry != null) {
      pool.release(entry, BoundedClientHandler.of(session).endExchange());
    }
  }

  /** Ends the lease and closes the connection. */
  void discard() {
    PoolEntry<HttpHost, IOSession> entry = lease.getAndSet(null);
    if (entry != null) {
      entry.discardConnection(CloseMode.IMMEDIATE);
      pool.release(entry, /* reusable= */ false);
    }
  }

  /** Fails an exchange that gets no connection. */
  private abstract static class ExchangeCallback<T> implements FutureCallback<T> {

    private final ClientExchange exchange;

    ExchangeCallback(ClientExchange exchange) {
      this.exchange = exchange;
    }

    @Override
    public void failed(Exception cause) {
      exchange.abort(ExchangeFailure.CONNECTION_LOST);
    }

    @Override
    public void cancelled() {
      exchange.abort(ExchangeFailure.CONNECTION_LOST);
    }
  }
}
