package dev.apricotmill.coordination.ledger;

import dev.apricotmill.coordination.identity.Incarnation;
import dev.apricotmill.coordination.platform.PlatformFailure;
import dev.apricotmill.coordination.time.Deadline;

/** The result of a claim. */
public sealed interface ClaimResult {

  /**
   * The caller may dispatch the request, once.
   *
   * <p>The ledger alone guarantees that nobody else dispatches it: the claim is stored on the
   * platform, and no other attempt gets this result for the key unless this claim is withdrawn. The
   * deadline does not protect uniqueness. It prevents a late dispatch after a pause of the process:
   * if it passes before the dispatch begins, the caller must withdraw the claim.
   *
   * @param dispatchBefore when the dispatch must have begun, on this process's monotonic clock
   */
  record Claimed(Deadline dispatchBefore) implements ClaimResult {}

  /**
   * Another attempt claimed the key, and its daemon may still be running the request.
   *
   * @param runner the daemon incarnation that holds the claim
   */
  record AlreadyClaimed(Incarnation runner) implements ClaimResult {}

  /**
   * Another attempt claimed the key, its daemon is no longer running, and no outcome was recorded.
   * It is unknown whether the request ran; it is never run again.
   *
   * @param runner the daemon incarnation that held the claim
   */
  record RunnerGone(Incarnation runner) implements ClaimResult {}

  /**
   * The request already ran.
   *
   * @param outcome the recorded outcome
   */
  record AlreadyFinished(RecordedOutcome outcome) implements ClaimResult {}

  /** The key was used before for a request with another fingerprint. */
  record KeyReused() implements ClaimResult {}

  /** The key is older than the ledger's retention, so the request may have run. */
  record TooOld() implements ClaimResult {}

  /** The key's creation time is too far in the future; no claim was made. */
  record FromFuture() implements ClaimResult {}

  /**
   * This attempt made no claim and can no longer make one, so the request does not run.
   *
   * @param failure why the platform could not be used
   */
  record Unavailable(PlatformFailure failure) implements ClaimResult {}

  /**
   * The claim may have been stored. Nobody may run the request, and its outcome is unknown to the
   * caller.
   *
   * @param failure why the platform could not be used
   */
  record Undetermined(PlatformFailure failure) implements ClaimResult {}
}
