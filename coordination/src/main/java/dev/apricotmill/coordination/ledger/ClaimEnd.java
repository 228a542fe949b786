package dev.apricotmill.coordination.ledger;

/** How a claim ended. */
sealed interface ClaimEnd {

  /**
   * The request ran.
   *
   * @param outcome the outcome that repeats of the key get
   */
  record Finished(RecordedOutcome outcome) implements ClaimEnd {}

  /** Nothing was dispatched, so the key may be claimed again. */
  record Withdrawn() implements ClaimEnd {}
}
