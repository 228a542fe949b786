package dev.apricotmill.node.relay;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.core.pool.Placement;
import dev.apricotmill.core.pool.PlacementRequest;
import dev.apricotmill.core.pool.WorkReport;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;

/** Sends messages to the dispatchers on other nodes. */
public interface DispatcherClient {

  /**
   * Asks a dispatcher to place a request.
   *
   * @param callback receives the decision, on any thread; empty if none came in time or the peer no
   *     longer dispatches
   */
  void requestPlacement(
      PeerAddress peer,
      PlacementRequest placementRequest,
      Duration timeout,
      Consumer<Optional<Placement>> callback);

  /**
   * Checks whether another node responds.
   *
   * @param callback receives, on any thread, whether it responded in time
   */
  void probe(PeerAddress peer, Duration timeout, Consumer<Boolean> callback);

  /** Sends reports on requests to a dispatcher. Lost reports are not sent again. */
  void report(PeerAddress peer, ImmutableList<WorkReport> reports);
}
