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
  public CompletionStage<Optional<byte[]>> onAsk(byte[] question) {
    return LedgerCodec.decode(question, LedgerQuestion.class)
        .map(this::answer)
        .orElseGet(() -> CompletableFuture.completedFuture(Optional.empty()));
  }

  private CompletionStage<Optional<byte[]>> answer(LedgerQuestion question) {
    return question.askOf(local).thenApply(answer -> Optional.of(LedgerCodec.encode(answer)));
  }
}
