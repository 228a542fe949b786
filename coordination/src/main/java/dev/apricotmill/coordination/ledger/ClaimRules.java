package dev.apricotmill.coordination.ledger;

import dev.apricotmill.coordination.identity.Incarnation;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Predicate;

/**
 * Decides a claim from what the ledger has recorded for its key.
 *
 * @param floorMillis claims of keys with an earlier creation time may have been dropped
 * @param nowMillis the wall clock in milliseconds since the epoch
 * @param mayBeRunning returns whether an incarnation may still be running
 */
record ClaimRules(long floorMillis, long nowMillis, Predicate<Incarnation> mayBeRunning) {

  /** The decision on a claim. */
  sealed interface Decision {}

  /** The key is not claimed: record a claim with this time. */
  record Add(long timeMillis) implements Decision {}

  /** The claim of this attempt is recorded already. */
  record AlreadyRecorded() implements Decision {}

  /** No claim is recorded; the caller gets {@code result}. */
  record Refuse(ClaimResult result) implements Decision {}

  Decision decide(ClaimRequest request, Optional<ClaimRecord> existing) {
    if (existing.isPresent() && existing.get().state() != ClaimState.WITHDRAWN) {
      return decideExisting(request, existing.get());
    }
    OptionalLong created = request.key().creationMillis();
    if (created.isEmpty()) {
      return new Add(nowMillis);
    }
    long oldestMillis = Math.max(floorMillis, nowMillis - request.window().maximumAge().toMillis());
    if (created.getAsLong() < oldestMillis) {
      return new Refuse(new ClaimResult.TooOld());
    }
    if (created.getAsLong() > nowMillis + request.window().futureSkew().toMillis()) {
      return new Refuse(new ClaimResult.FromFuture());
    }
    return new Add(created.getAsLong());
  }

  private Decision decideExisting(ClaimRequest request, ClaimRecord existing) {
    if (!existing.fingerprint().equals(request.fingerprint().text())) {
      return new Refuse(new ClaimResult.KeyReused());
    }
    if (existing.state() == ClaimState.FINISHED) {
      return new Refuse(new ClaimResult.AlreadyFinished(existing.outcome()));
    }
    if (existing.nonce().equals(request.nonce().text())) {
      return new AlreadyRecorded();
    }
    return new Refuse(
        mayBeRunning.test(existing.runner())
            ? new ClaimResult.AlreadyClaimed(existing.runner())
            : new ClaimResult.RunnerGone(existing.runner()));
  }
}
