package dev.apricotmill.coordination.ledger;

import dev.apricotmill.coordination.membership.PeerAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/**
 * The client interface through which a daemon sends claims to the preferred writer of a shard. The
 * messages are opaque to the transport, which passes them to the peer's {@link LedgerEndpoint}.
 *
 * <p>The returned stages complete within {@code timeout} and never exceptionally.
 */
@FunctionalInterface
public interface LedgerPeers {

  /** Sends a request of at most 8 KiB and returns the response. */
  CompletionStage<LedgerCallResult> send(PeerAddress peer, byte[] request, Duration timeout);

  /** Returns an instance without responses, so that the daemon makes every write itself. */
  static LedgerPeers none() {
    return (peer, request, timeout) ->
        CompletableFuture.completedFuture(new LedgerCallResult.NoAnswer());
  }
}
