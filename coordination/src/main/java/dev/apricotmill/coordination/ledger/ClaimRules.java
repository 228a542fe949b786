package dev.apricotmill.coordination.ledger;

import dev.apricotmill.coordination.identity.Incarnation;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Predicate;

/**
 * Decides what a claim gets from what the ledger knows of its key.
 *
 * @param floorMillis keys with an earlier creation time may have been forgotten
 * @param nowMillis the wall clock
 * @param mayBeRunning tells whether an incarnation may still be running
 */
record ClaimRules(long floorMillis, long nowMillis, Predicate<Incarnation> mayBeRunning) {

  /** What is to be done with a claim. */
  sealed interface Decision {}

  /** The key is free: record the claim with this time. */
  record Add(long timeMillis) implements Decision {}

  /** This very attempt is recorded already. */
  record Own() implements Decision {}

  /** The claim is not recorded, and this is the answer. */
  record Answer(ClaimResult result) implements Decision {}

  Decision decide(ClaimRequest request, Optional<ClaimRecord> known) {
    if (known.isPresent() && known.get().state() != ClaimState.WITHDRAWN) {
      return decideKnown(request, known.get());
    }
    OptionalLong created = request.key().creationMillis();
    if (created.isEmpty()) {
      return new Add(nowMillis);
    }
    long oldest = Math.max(floorMillis, nowMillis - request.window().maximumAge().toMillis());
    if (created.getAsLong() < oldest) {
      return new Answer(new ClaimResult.TooOld());
    }
    if (created.getAsLong() > nowMillis + request.window().futureSkew().toMillis()) {
      return new Answer(new ClaimResult.FromFuture());
    }
    return new Add(created.getAsLong());
  }

  private Decision decideKnown(ClaimRequest request, ClaimRecord known) {
    if (!known.fingerprint().equals(request.fingerprint().text())) {
      return new Answer(new ClaimResult.KeyReused());
    }
    if (known.state() == ClaimState.FINISHED) {
      return new Answer(new ClaimResult.AlreadyFinished(known.outcome()));
    }
    if (known.nonce().equals(request.nonce().text())) {
      return new Own();
    }
    return new Answer(
        mayBeRunning.test(known.runner())
            ? new ClaimResult.AlreadyClaimed(known.runner())
            : new ClaimResult.RunnerGone(known.runner()));
  }
}
