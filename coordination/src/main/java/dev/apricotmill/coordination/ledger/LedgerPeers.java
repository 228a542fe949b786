package dev.apricotmill.coordination.ledger;

import dev.apricotmill.coordination.membership.PeerAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/**
 * The port through which a daemon asks the one that usually writes a shard. The messages are opaque
 * to the transport, which hands them to the peer's {@link LedgerEndpoint}.
 *
 * <p>Stages complete normally within {@code timeout} and never exceptionally.
 */
@FunctionalInterface
public interface LedgerPeers {

  /** Sends a question of at most 8 KiB and returns its answer. */
  CompletionStage<LedgerCallResult> send(PeerAddress peer, byte[] request, Duration timeout);

  /** Returns peers that never answer, so that every daemon writes the ledger itself. */
  static LedgerPeers none() {
    return (peer, request, timeout) ->
        CompletableFuture.completedFuture(new LedgerCallResult.NoAnswer());
  }
}
