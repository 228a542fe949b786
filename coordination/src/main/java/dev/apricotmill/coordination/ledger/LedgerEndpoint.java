package dev.apricotmill.coordination.ledger;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/** The receiving side of {@link LedgerPeers}: uses the local ledger for a peer. */
public final class LedgerEndpoint {

  private final Claims local;

  /** Makes an endpoint on this daemon's own ledger. */
  public LedgerEndpoint(Claims local) {
    this.local = local;
  }

  /** Answers a question; empty if it cannot be understood. */
  public CompletionStage<Optional<byte[]>> onRequest(byte[] request) {
    return LedgerCodec.decode(request, LedgerRequest.class)
        .map(this::handle)
        .orElseGet(() -> CompletableFuture.completedFuture(Optional.empty()));
  }

  private CompletionStage<Optional<byte[]>> handle(LedgerRequest request) {
    return request.applyTo(local).thenApply(response -> Optional.of(LedgerCodec.encode(response)));
  }
}
