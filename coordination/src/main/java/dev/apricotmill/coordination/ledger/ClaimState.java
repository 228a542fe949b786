package dev.apricotmill.coordination.ledger;

/** The state of a claim. */
enum ClaimState {
  /** Claimed; neither an outcome nor a withdrawal is recorded. */
  RUNNING,
  /** The outcome of the request is recorded. */
  FINISHED,
  /** Withdrawn before anything was dispatched; the key may be claimed again. */
  WITHDRAWN
}
