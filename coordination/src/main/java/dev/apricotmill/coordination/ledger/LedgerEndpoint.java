package dev.apricotmill.coordination.ledger;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/** Handles requests that peers send through {@link LedgerPeers}, on the local ledger. */
public final class LedgerEndpoint {

  private final Claims local;

  /** Creates an endpoint for this daemon's own ledger. */
  public LedgerEndpoint(Claims local) {
    this.local = local;
  }

  /** Handles an encoded request; returns the encoded response, empty if it is malformed. */
  public CompletionStage<Optional<byte[]>> onRequest(byte[] request) {
    return LedgerCodec.decode(request, LedgerRequest.class)
        .map(this::handle)
        .orElseGet(() -> CompletableFuture.completedFuture(Optional.empty()));
  }

  private CompletionStage<Optional<byte[]>> handle(LedgerRequest request) {
    return request.applyTo(local).thenApply(response -> Optional.of(LedgerCodec.encode(response)));
  }
}
