package dev.apricotmill.cli.command;

import dev.apricotmill.coordination.membership.PeerAddress;
import java.time.Duration;
import java.util.concurrent.CompletionStage;

/** Calls the operators' ports of daemons. A stage never completes exceptionally. */
public interface OperatorPort {
  /** Gets a document. */
  CompletionStage<OperatorAnswer> get(PeerAddress daemon, String path, Duration timeout);

  /** Posts an order without a body. */
  CompletionStage<OperatorAnswer> post(PeerAddress daemon, String path, Duration timeout);
}
