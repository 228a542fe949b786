package dev.apricotmill.adapters;

import org.apache.hc.core5.http.impl.nio.ClientHttp1IOEventHandler;
import org.apache.hc.core5.http.impl.nio.ClientHttp1StreamDuplexer;
import org.apache.hc.core5.reactor.IOSession;

/** The handler of one client connection, with the exchanges that it has carried. */
final class BoundedClientHandler extends ClientHttp1IOEventHandler {

  private final ConnectionExchanges exchanges;
  private final OwnResponseParser parser;

  BoundedClientHandler(
      ClientHttp1StreamDuplexer duplexer, ConnectionExchanges exchanges, OwnResponseParser parser) {
    super(duplexer);
    this.exchanges = exchanges;
    this.parser = parser;
  }

  /** Returns the handler of a connection that {@link BoundedClientHandlerFactory} has set up. */
  static BoundedClientHandler of(IOSession session) {
    return (BoundedClientHandler) session.getHandler();
  }

  /** Records the start of an exchange; returns false if the connection must not carry it. */
  boolean tryBegin(ClientExchange exchange) {
    return isOpen() && exchanges.tryBegin(exchange.call());
  }

  /**
   * Records that the exchange that was begun last will send nothing; returns whether the connection
   * may carry others.
   */
  boolean cancelExchange() {
    exchanges.cancelBegin();
    return mayCarryOthers();
  }

  /** Returns whether the current exchange is the only one that the connection has carried. */
  boolean isFirstExchange() {
    return exchanges.isFirst();
  }

  /** Records the end of an exchange; returns whether the connection may carry others. */
  boolean endExchange() {
    exchanges.end();
    return mayCarryOthers();
  }

  private boolean mayCarryOthers() {
    return isOpen() && !exchanges.isExhausted() && !parser.hasUnreadBytes();
  }
}
