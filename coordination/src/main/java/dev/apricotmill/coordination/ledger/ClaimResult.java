package dev.apricotmill.coordination.ledger;

import dev.apricotmill.coordination.identity.Incarnation;
import dev.apricotmill.coordination.platform.PlatformFailure;
import dev.apricotmill.coordination.time.Deadline;

/** The answer to a claim. */
public sealed interface ClaimResult {

  /**
   * The caller may dispatch the request, once.
   *
   * <p>That nobody else does is guarded by the ledger alone: the claim stands at the platform, and
   * no other attempt is ever given this result for the key unless this one is withdrawn. The
   * deadline guards the request's timeliness after a pause of the process, not its uniqueness: when
   * it has passed before the dispatch began, the claim is to be withdrawn.
   *
   * @param dispatchBefore when the dispatch must have begun, on this process's monotonic clock
   */
  record Claimed(Deadline dispatchBefore) implements ClaimResult {}

  /**
   * Another attempt claimed the key, and its daemon may still be running the request.
   *
   * @param runner the daemon incarnation
   */
  record AlreadyClaimed(Incarnation runner) implements ClaimResult {}

  /**
   * Another attempt claimed the key, its daemon is gone, and no outcome was recorded: it is unknown
   * whether the request ran. It is never run again.
   *
   * @param runner the daemon incarnation
   */
  record RunnerGone(Incarnation runner) implements ClaimResult {}

  /**
   * The request ran.
   *
   * @param outcome its first outcome
   */
  record AlreadyFinished(RecordedOutcome outcome) implements ClaimResult {}

  /** The key was used for another request. */
  record KeyReused() implements ClaimResult {}

  /** The key is older than the ledger remembers: the request may have run. */
  record TooOld() implements ClaimResult {}

  /** The key's creation time is too far in the future; nothing was claimed. */
  record FromFuture() implements ClaimResult {}

  /**
   * The key is not claimed by this attempt and will not be: the request does not run.
   *
   * @param failure why
   */
  record Unavailable(PlatformFailure failure) implements ClaimResult {}

  /**
   * The claim may stand. Nobody may run the request; its outcome is unknown to the caller.
   *
   * @param failure why
   */
  record Undetermined(PlatformFailure failure) implements ClaimResult {}
}
