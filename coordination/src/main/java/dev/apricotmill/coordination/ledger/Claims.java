package dev.apricotmill.coordination.ledger;

import java.util.concurrent.CompletionStage;

/** Claims requests before they run and records how they ended; stages never fail. */
public interface Claims {

  /** Claims the right to run a request. */
  CompletionStage<ClaimResult> claim(ClaimRequest request);

  /** Records the outcome of a claimed request, which repeats of its key get from then on. */
  CompletionStage<RecordResult> complete(LedgerKey key, ClaimNonce nonce, RecordedOutcome outcome);

  /**
   * Gives up a claim of which nothing was dispatched, so that the key may be claimed again. Must
   * not be called once any byte that could start the request has left.
   */
  CompletionStage<RecordResult> withdraw(LedgerKey key, ClaimNonce nonce);
}
