package dev.apricotmill.node.relay;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.core.pool.Placement;
import dev.apricotmill.core.pool.PlacementAsk;
import dev.apricotmill.core.pool.WorkReport;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;

/** The port to the dispatchers of other nodes. */
public interface DispatcherClient {

  /**
   * Asks a dispatcher to place a request.
   *
   * @param callback takes the decision, on any thread; empty if none came in time or the peer
   *     decides no more
   */
  void requestPlacement(
      PeerAddress peer,
      PlacementAsk placementRequest,
      Duration timeout,
      Consumer<Optional<Placement>> callback);

  /**
   * Asks another node whether it lives.
   *
   * @param callback learns, on any thread, whether it answered in time
   */
  void probe(PeerAddress peer, Duration timeout, Consumer<Boolean> callback);

  /** Tells a dispatcher what became of work. Lost reports are not sent again. */
  void report(PeerAddress peer, ImmutableList<WorkReport> reports);
}
