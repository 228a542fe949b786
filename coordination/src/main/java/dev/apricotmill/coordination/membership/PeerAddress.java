package dev.apricotmill.coordination.membership;

/**
 * The address at which a daemon accepts requests from peers.
 *
 * @param host the IP address
 * @param port the TCP port
 */
public record PeerAddress(String host, int port) {

  /** Rejects a port that is not in the range 0 to 65535. */
  public PeerAddress {
    if (port < 0 || port > 0xFFFF) {
      throw new IllegalArgumentException("expected a port from 0 to 65535, got " + port);
    }
  }

  /** Parses {@code IP:port}; throws {@link IllegalArgumentException} if it is malformed. */
  public static PeerAddress parse(String text) {
    int colon = text.lastIndexOf(':');
    if (colon <= 0) {
      throw new IllegalArgumentException("expected an address of the form IP:port, got " + text);
    }
    return new PeerAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
  }

  @Override
  public String toString() {
    return host + ":" + port;
  }
}
