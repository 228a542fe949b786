package dev.apricotmill.node;

import dev.apricotmill.coordination.identity.Incarnation;
import dev.apricotmill.coordination.ledger.LedgerRequestHandler;
import dev.apricotmill.coordination.membership.ProbeEndpoint;
import dev.apricotmill.core.peer.StewardEndpoint;
import dev.apricotmill.node.api.NodeStatus;
import dev.apricotmill.node.api.RequestEntry;
import java.util.concurrent.CompletionStage;

/** One daemon without its sockets: entry, steward and control duties behind ports. */
public interface Node
    extends RequestEntry, StewardEndpoint, ProbeEndpoint, LedgerRequestHandler, AutoCloseable {

  /** Learns the configuration and the peers, and begins to take requests when both are known. */
  void start();

  /** Returns the current life of the daemon. */
  Incarnation self();

  /** Returns what the node tells operators. */
  NodeStatus status();

  /** Stops taking requests; the stage completes when the last open one has ended. */
  CompletionStage<NodeStatus> drain();

  /** Ends every duty at once; open requests are lost as if the process had died. */
  @Override
  void close();
}
