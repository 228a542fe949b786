package dev.apricotmill.coordination.ledger;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import dev.apricotmill.coordination.platform.PlatformFailure;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Works out what a group of operations changes in a shard, and what each of them is answered once
 * the change stands.
 */
final class BatchPlan {

  private final ClaimRules rules;
  private final Map<LedgerKey, ClaimRecord> claims;
  private final Map<LedgerKey, ClaimRecord> paged;
  private final ImmutableSet<LedgerKey> unreadable;
  private final List<ShardOperation> writing = new ArrayList<>();
  private final List<Runnable> answers = new ArrayList<>();

  /**
   * Begins a plan.
   *
   * @param rules the rules for claims
   * @param claims the claims in the head
   * @param paged the claims in pages that the operations concern
   * @param unreadable keys whose page could not be read
   */
  BatchPlan(
      ClaimRules rules,
      ImmutableList<ClaimRecord> claims,
      Map<LedgerKey, ClaimRecord> paged,
      ImmutableSet<LedgerKey> unreadable) {
    this.rules = rules;
    this.claims = new LinkedHashMap<>();
    this.paged = paged;
    this.unreadable = unreadable;
    claims.forEach(record -> this.claims.put(record.ledgerKey(), record));
  }

  void add(ShardOperation operation) {
    if (unreadable.contains(operation.key())) {
      answers.add(() -> operation.fail(PlatformFailure.NO_ANSWER));
    } else if (operation instanceof ShardOperation.Claim claim) {
      addClaim(claim);
    } else if (operation instanceof ShardOperation.End end) {
      addEnd(end);
    }
  }

  /** Returns the operations that need the update. */
  ImmutableList<ShardOperation> writing() {
    return ImmutableList.copyOf(writing);
  }

  /** Returns the claims of the head after the change. */
  ImmutableList<ClaimRecord> claims() {
    return ImmutableList.copyOf(claims.values());
  }

  /** Answers all operations; to be called once the update stands, if one is needed. */
  void answer() {
    answers.forEach(Runnable::run);
  }

  private void addClaim(ShardOperation.Claim claim) {
    ClaimRules.Decision decision = rules.decide(claim.request(), known(claim.key()));
    if (decision instanceof ClaimRules.Add add) {
      claims.put(claim.key(), ClaimRecord.running(claim.request(), add.timeMillis()));
      claim.setMayStand(false);
      writes(claim, () -> claim.result().complete(claim.claimed()));
    } else if (decision instanceof ClaimRules.Own) {
      claim.setMayStand(true);
      answers.add(() -> claim.result().complete(claim.claimed()));
    } else if (decision instanceof ClaimRules.Answer answer) {
      answers.add(() -> claim.result().complete(answer.result()));
    }
  }

  private void addEnd(ShardOperation.End end) {
    Optional<ClaimRecord> known =
        known(end.key()).filter(record -> record.nonce().equals(end.nonce().text()));
    if (known.isEmpty() && isRemovedBy(end)) {
      answers.add(() -> end.result().complete(new RecordResult.Recorded()));
    } else if (known.isEmpty()) {
      answers.add(() -> end.result().complete(new RecordResult.NoSuchClaim()));
    } else if (known.get().state() != ClaimState.RUNNING) {
      answers.add(() -> end.result().complete(new RecordResult.Recorded()));
    } else {
      change(known.get(), end.end());
      writes(end, () -> end.result().complete(new RecordResult.Recorded()));
    }
  }

  /** Returns whether a withdrawal that may stand is the reason why its claim is not found. */
  private static boolean isRemovedBy(ShardOperation.End end) {
    return end.mayStand() && end.end() instanceof ClaimEnd.Withdrawn;
  }

  private void change(ClaimRecord record, ClaimEnd end) {
    LedgerKey key = record.ledgerKey();
    if (end instanceof ClaimEnd.Finished finished) {
      claims.put(key, record.finished(finished.outcome()));
    } else if (paged.containsKey(key)) {
      claims.put(key, record.withdrawn());
    } else {
      claims.remove(key);
    }
  }

  private Optional<ClaimRecord> known(LedgerKey key) {
    return Optional.ofNullable(claims.get(key)).or(() -> Optional.ofNullable(paged.get(key)));
  }

  private void writes(ShardOperation operation, Runnable answer) {
    writing.add(operation);
    answers.add(answer);
  }
}
