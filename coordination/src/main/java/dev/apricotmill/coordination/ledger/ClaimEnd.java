package dev.apricotmill.coordination.ledger;

/** How a claim ends. */
sealed interface ClaimEnd {

  /**
   * The request ran.
   *
   * @param outcome its outcome
   */
  record Finished(RecordedOutcome outcome) implements ClaimEnd {}

  /** Nothing was dispatched. */
  record Withdrawn() implements ClaimEnd {}
}
