package dev.apricotmill.node.relay;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.core.pool.Placement;
import dev.apricotmill.core.pool.PlacementRequest;
import dev.apricotmill.core.pool.WorkReport;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;

/** The port to the dispatchers of other nodes. */
public interface PlacementPeers {

  /**
   * Asks a dispatcher to place a request.
   *
   * @param then takes the decision, on any thread; empty if none came in time or the peer decides
   *     no more
   */
  void ask(
      PeerAddress peer, PlacementRequest ask, Duration timeout, Consumer<Optional<Placement>> then);

  /**
   * Asks another node whether it lives.
   *
   * @param then learns, on any thread, whether it answered in time
   */
  void probe(PeerAddress peer, Duration timeout, Consumer<Boolean> then);

  /** Tells a dispatcher what became of work. Lost reports are not sent again. */
  void report(PeerAddress peer, ImmutableList<WorkReport> reports);
}
