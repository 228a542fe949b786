package dev.apricotmill.coordination.ledger;

import com.google.common.io.BaseEncoding;
import dev.apricotmill.coordination.identity.DaemonId;
import dev.apricotmill.coordination.identity.Incarnation;
import dev.apricotmill.coordination.platform.PlatformFailure;
import dev.apricotmill.coordination.time.Deadline;

/**
 * The response to a {@link LedgerRequest}, encoded as JSON.
 *
 * @param kind the kind of result
 * @param daemon the name of the daemon that holds the claim, empty if the result has none
 * @param incarnation the incarnation of that daemon, 0 if the result has none
 * @param status the recorded status, 0 if the result has none
 * @param body the recorded body in Base64, empty if the result has none
 * @param failure the platform's failure, {@code NO_ANSWER} if the result has none
 */
record LedgerResponse(
    Kind kind, String daemon, long incarnation, int status, String body, PlatformFailure failure) {

  /** The subtypes of {@link ClaimResult} and {@link RecordResult}. */
  enum Kind {
    CLAIMED,
    ALREADY_CLAIMED,
    RUNNER_GONE,
    ALREADY_FINISHED,
    KEY_REUSED,
    TOO_OLD,
    FROM_FUTURE,
    UNAVAILABLE,
    UNDETERMINED,
    RECORDED,
    NO_SUCH_CLAIM,
    NOT_RECORDED
  }

  static LedgerResponse of(ClaimResult result) {
    if (result instanceof ClaimResult.Claimed) {
      return of(Kind.CLAIMED);
    }
    if (result instanceof ClaimResult.AlreadyClaimed claimed) {
      return of(Kind.ALREADY_CLAIMED, claimed.runner());
    }
    if (result instanceof ClaimResult.RunnerGone gone) {
      return of(Kind.RUNNER_GONE, gone.runner());
    }
    if (result instanceof ClaimResult.AlreadyFinished finished) {
      RecordedOutcome outcome = finished.outcome();
      String body = BaseEncoding.base64().encode(outcome.body());
      return new LedgerResponse(
          Kind.ALREADY_FINISHED, "", 0, outcome.status(), body, PlatformFailure.NO_ANSWER);
    }
    if (result instanceof ClaimResult.KeyReused) {
      return of(Kind.KEY_REUSED);
    }
    if (result instanceof ClaimResult.TooOld) {
      return of(Kind.TOO_OLD);
    }
    if (result instanceof ClaimResult.FromFuture) {
      return of(Kind.FROM_FUTURE);
    }
    return result instanceof ClaimResult.Unavailable unavailable
        ? of(Kind.UNAVAILABLE, unavailable.failure())
        : of(Kind.UNDETERMINED, PlatformFailure.NO_ANSWER);
  }

  static LedgerResponse of(RecordResult result) {
    if (result instanceof RecordResult.Recorded) {
      return of(Kind.RECORDED);
    }
    return result instanceof RecordResult.NotRecorded failed
        ? of(Kind.NOT_RECORDED, failed.failure())
        : of(Kind.NO_SUCH_CLAIM);
  }

  /** Returns the result of a claim, undetermined if the response does not belong to a claim. */
  ClaimResult toClaimResult(Deadline dispatchBefore) {
    return switch (kind) {
      case CLAIMED -> new ClaimResult.Claimed(dispatchBefore);
      case ALREADY_CLAIMED -> new ClaimResult.AlreadyClaimed(runner());
      case RUNNER_GONE -> new ClaimResult.RunnerGone(runner());
      case ALREADY_FINISHED ->
          new ClaimResult.AlreadyFinished(
              new RecordedOutcome(status, BaseEncoding.base64().decode(body)));
      case KEY_REUSED -> new ClaimResult.KeyReused();
      case TOO_OLD -> new ClaimResult.TooOld();
      case FROM_FUTURE -> new ClaimResult.FromFuture();
      case UNAVAILABLE -> new ClaimResult.Unavailable(failure);
      default -> new ClaimResult.Undetermined(failure);
    };
  }

  /** Returns the result of recording an end. */
  RecordResult toRecordResult() {
    return switch (kind) {
      case RECORDED -> new RecordResult.Recorded();
      case NO_SUCH_CLAIM -> new RecordResult.NoSuchClaim();
      default -> new RecordResult.NotRecorded(failure);
    };
  }

  private Incarnation runner() {
    return new Incarnation(new DaemonId(daemon), incarnation);
  }

  private static LedgerResponse of(Kind kind) {
    return of(kind, PlatformFailure.NO_ANSWER);
  }

  private static LedgerResponse of(Kind kind, PlatformFailure failure) {
    return new LedgerResponse(kind, "", 0, 0, "", failure);
  }

  private static LedgerResponse of(Kind kind, Incarnation runner) {
    return new LedgerResponse(
        kind, runner.daemon().name(), runner.number(), 0, "", PlatformFailure.NO_ANSWER);
  }
}
