package dev.apricotmill.node;

import dev.apricotmill.coordination.identity.Incarnation;
import dev.apricotmill.coordination.ledger.LedgerRequestHandler;
import dev.apricotmill.coordination.membership.ProbeEndpoint;
import dev.apricotmill.core.peer.StewardEndpoint;
import dev.apricotmill.node.api.NodeStatus;
import dev.apricotmill.node.api.RequestEntry;
import java.util.concurrent.CompletionStage;

/**
 * One daemon without its network servers: the entry role, the steward role (the daemon owns
 * replicas and schedules their work) and the control tasks, with all outside access behind
 * interfaces.
 */
public interface Node
    extends RequestEntry, StewardEndpoint, ProbeEndpoint, LedgerRequestHandler, AutoCloseable {

  /** Starts learning the configuration and the peers; accepts requests once both are known. */
  void start();

  /** Returns the current incarnation of the daemon. */
  Incarnation self();

  /** Returns the status that is shown to operators. */
  NodeStatus status();

  /** Stops accepting requests; the stage completes when the last open request has ended. */
  CompletionStage<NodeStatus> drain();

  /**
   * Ends the open requests of callers, before the process ends: as refused if they certainly did
   * not run. Requests that peers have forwarded continue; the peers resume them elsewhere.
   */
  void endOpenRequests();

  /** Stops all roles immediately; open requests are lost as if the process had died. */
  @Override
  void close();
}
