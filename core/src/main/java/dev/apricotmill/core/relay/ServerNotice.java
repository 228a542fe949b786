package dev.apricotmill.core.relay;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalDouble;

/**
 * What a backend server says of itself in a response, whatever the response is about.
 *
 * @param leaving whether the server is about to end and wants no new requests
 * @param pause how long the server wants no requests from this node; empty if it did not say so
 * @param requestsPerSecond the requests a second that the server takes from all nodes together;
 *     empty if it named no limit
 * @param cold how long the server is still cold; empty if it did not say so
 */
public record ServerNotice(
    boolean leaving,
    Optional<Duration> pause,
    OptionalDouble requestsPerSecond,
    Optional<Duration> cold) {

  /** The server said nothing of itself. */
  public static final ServerNotice NONE = new ServerNotice(false, Optional.empty());

  /** Creates the notice of a server that named no limit. */
  public ServerNotice(boolean leaving, Optional<Duration> pause) {
    this(leaving, pause, OptionalDouble.empty());
  }

  /** Creates the notice of a server that did not say that it is cold. */
  public ServerNotice(boolean leaving, Optional<Duration> pause, OptionalDouble requestsPerSecond) {
    this(leaving, pause, requestsPerSecond, Optional.empty());
  }
}
