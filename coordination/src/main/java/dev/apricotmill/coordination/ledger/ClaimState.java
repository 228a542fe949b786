package dev.apricotmill.coordination.ledger;

/** Where a claim stands. */
enum ClaimState {
  /** Claimed, and no end is recorded. */
  RUNNING,
  /** Its outcome is recorded. */
  FINISHED,
  /** Given up before anything was dispatched; the key may be claimed again. */
  WITHDRAWN
}
