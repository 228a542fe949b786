package dev.apricotmill.coordination.ledger;

import dev.apricotmill.coordination.platform.PlatformFailure;

/** The answer to recording the end of a claim. */
public sealed interface RecordResult {

  /** It is recorded. */
  record Recorded() implements RecordResult {}

  /** There is no such claim, or it is forgotten. */
  record NoSuchClaim() implements RecordResult {}

  /**
   * It could not be recorded in time, and may or may not stand.
   *
   * @param failure why
   */
  record NotRecorded(PlatformFailure failure) implements RecordResult {}
}
