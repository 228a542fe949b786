package dev.apricotmill.coordination.ledger;

import dev.apricotmill.coordination.platform.PlatformFailure;

/** The result of recording an outcome or a withdrawal. */
public sealed interface RecordResult {

  /** The outcome or withdrawal is recorded. */
  record Recorded() implements RecordResult {}

  /** The claim does not exist, or was dropped after the retention. */
  record NoSuchClaim() implements RecordResult {}

  /**
   * No write was confirmed in time; an unconfirmed one may have taken effect.
   *
   * @param failure why the platform could not be used
   */
  record NotRecorded(PlatformFailure failure) implements RecordResult {}
}
