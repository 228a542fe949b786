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
 * Applies a batch of operations to an in-memory copy of a shard and collects the result that each
 * operation gets once the change is written.
 */
final class BatchPlan {

  private final ClaimRules rules;
  private final Map<LedgerKey, ClaimRecord> headClaims;
  private final Map<LedgerKey, ClaimRecord> pagedClaims;
  private final ImmutableSet<LedgerKey> unreadableKeys;
  private final List<ShardOperation> operationsToWrite = new ArrayList<>();
  private final List<Runnable> completions = new ArrayList<>();

  /**
   * Creates a plan without operations.
   *
   * @param rules decides each claim
   * @param headClaims the claims in the shard's head
   * @param pagedClaims claims from pages, for the keys of the batch
   * @param unreadableKeys keys whose page could not be read; their operations fail
   */
  BatchPlan(
      ClaimRules rules,
      ImmutableList<ClaimRecord> headClaims,
      Map<LedgerKey, ClaimRecord> pagedClaims,
      ImmutableSet<LedgerKey> unreadableKeys) {
    this.rules = rules;
    this.headClaims = new LinkedHashMap<>();
    this.pagedClaims = pagedClaims;
    this.unreadableKeys = unreadableKeys;
    headClaims.forEach(record -> this.headClaims.put(record.ledgerKey(), record));
  }

  void add(ShardOperation operation) {
    if (unreadableKeys.contains(operation.key())) {
      completions.add(() -> operation.fail(PlatformFailure.NO_ANSWER));
    } else if (operation instanceof ShardOperation.Claim claim) {
      addClaim(claim);
    } else if (operation instanceof ShardOperation.End end) {
      addEnd(end);
    }
  }

  /** Returns the operations that take effect only with an update of the head. */
  ImmutableList<ShardOperation> operationsToWrite() {
    return ImmutableList.copyOf(operationsToWrite);
  }

  /** Returns the claims that the head is to contain. */
  ImmutableList<ClaimRecord> headClaims() {
    return ImmutableList.copyOf(headClaims.values());
  }

  /**
   * Completes all operations. If any operation needs an update, this is called only after that
   * update has succeeded.
   */
  void completeAll() {
    completions.forEach(Runnable::run);
  }

  private void addClaim(ShardOperation.Claim claim) {
    ClaimRules.Decision decision = rules.decide(claim.request(), find(claim.key()));
    if (decision instanceof ClaimRules.Add add) {
      headClaims.put(claim.key(), ClaimRecord.running(claim.request(), add.timeMillis()));
      claim.setMayHaveTakenEffect(false);
      addWrite(claim, () -> claim.result().complete(claim.claimed()));
    } else if (decision instanceof ClaimRules.AlreadyRecorded) {
      claim.setMayHaveTakenEffect(true);
      completions.add(() -> claim.result().complete(claim.claimed()));
    } else if (decision instanceof ClaimRules.Refuse refusal) {
      completions.add(() -> claim.result().complete(refusal.result()));
    }
  }

  private void addEnd(ShardOperation.End end) {
    Optional<ClaimRecord> existing =
        find(end.key()).filter(record -> record.nonce().equals(end.nonce().text()));
    if (existing.isEmpty() && mayHaveBeenWithdrawnBy(end)) {
      completions.add(() -> end.result().complete(new RecordResult.Recorded()));
    } else if (existing.isEmpty()) {
      completions.add(() -> end.result().complete(new RecordResult.NoSuchClaim()));
    } else if (existing.get().state() != ClaimState.RUNNING) {
      completions.add(() -> end.result().complete(new RecordResult.Recorded()));
    } else {
      applyEnd(existing.get(), end.end());
      addWrite(end, () -> end.result().complete(new RecordResult.Recorded()));
    }
  }

  /** Returns whether the claim may be missing because an earlier attempt of this withdrawal did. */
  private static boolean mayHaveBeenWithdrawnBy(ShardOperation.End end) {
    return end.mayHaveTakenEffect() && end.end() instanceof ClaimEnd.Withdrawn;
  }

  private void applyEnd(ClaimRecord record, ClaimEnd end) {
    LedgerKey key = record.ledgerKey();
    if (end instanceof ClaimEnd.Finished finished) {
      headClaims.put(key, record.finished(finished.outcome()));
    } else if (pagedClaims.containsKey(key)) {
      headClaims.put(key, record.withdrawn());
    } else {
      headClaims.remove(key);
    }
  }

  private Optional<ClaimRecord> find(LedgerKey key) {
    return Optional.ofNullable(headClaims.get(key))
        .or(() -> Optional.ofNullable(pagedClaims.get(key)));
  }

  private void addWrite(ShardOperation operation, Runnable completion) {
    operationsToWrite.add(operation);
    completions.add(completion);
  }
}
