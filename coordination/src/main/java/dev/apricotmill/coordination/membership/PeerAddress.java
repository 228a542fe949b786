package dev.apricotmill.coordination.membership;

/**
 * Where a daemon's inner port listens.
 *
 * @param host the IP number
 * @param port the TCP port
 */
public record PeerAddress(String host, int port) {

  /** Checks the range of the port. */
  public PeerAddress {
    if (port < 0 || port > 0xFFFF) {
      throw new IllegalArgumentException("port out of range: " + port);
    }
  }

  /** Parses {@code IP:port}; throws {@link IllegalArgumentException} if it is malformed. */
  public static PeerAddress parse(String text) {
    int colon = text.lastIndexOf(':');
    if (colon <= 0) {
      throw new IllegalArgumentException("not of the form IP:port: " + text);
    }
    return new PeerAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
  }

  @Override
  public String toString() {
    return host + ":" + port;
  }
}
