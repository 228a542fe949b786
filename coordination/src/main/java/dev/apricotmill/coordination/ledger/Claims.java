package dev.apricotmill.coordination.ledger;

import java.util.concurrent.CompletionStage;

/**
 * Claims requests before they run and records how they ended. The returned stages never complete
 * exceptionally.
 */
public interface Claims {

  /** Claims the right to run a request. */
  CompletionStage<ClaimResult> claim(ClaimRequest request);

  /** Records the outcome of a claimed request; repeats of its key get it from then on. */
  CompletionStage<RecordResult> complete(LedgerKey key, ClaimNonce nonce, RecordedOutcome outcome);

  /**
   * Withdraws a claim, so that the key may be claimed again. Must not be called once any byte that
   * could start the request has been sent.
   */
  CompletionStage<RecordResult> withdraw(LedgerKey key, ClaimNonce nonce);
}
