package dev.apricotmill.adapters;

/** The exchanges of one connection, one at a time. Thread-safe. */
final class ConnectionExchanges {

  private boolean open;

  /** Records the begin of an exchange. */
  synchronized void begin() {
    open = true;
  }

  /** Returns whether the response to an exchange is due. */
  synchronized boolean isOpen() {
    return open;
  }

  /** Records that the response to the last exchange is complete. */
  synchronized void end() {
    open = false;
  }
}
