package dev.apricotmill.core.relay;

import java.time.Duration;
import java.util.Optional;

/**
 * What a backend server says of itself in a response, whatever the response is about.
 *
 * @param leaving whether the server is about to end and wants no new requests
 * @param pause how long the server wants no requests from this node; empty if it did not say so
 */
public record ServerNotice(boolean leaving, Optional<Duration> pause) {

  /** The server said nothing of itself. */
  public static final ServerNotice NONE = new ServerNotice(false, Optional.empty());
}
