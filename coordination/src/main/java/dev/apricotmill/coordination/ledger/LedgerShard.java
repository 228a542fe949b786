package dev.apricotmill.coordination.ledger;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.errorprone.annotations.concurrent.GuardedBy;
import dev.apricotmill.coordination.identity.Incarnation;
import dev.apricotmill.coordination.platform.Platform;
import dev.apricotmill.coordination.platform.PlatformFailure;
import dev.apricotmill.coordination.platform.UpdateResult;
import dev.apricotmill.coordination.time.Timing;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

/**
 * Access of one process to one shard of the ledger. Collects operations for a short time and writes
 * them as one batch, in one conditional update of the shard's head.
 *
 * <p>One batch is written at a time. It is planned on a cached version of the head and takes effect
 * only if the head still has that version.
 */
final class LedgerShard {

  private static final System.Logger LOGGER = System.getLogger(LedgerShard.class.getName());
  private static final int MAX_BATCH_SIZE = 400;
  private static final int MAX_UPDATE_ATTEMPTS = 6;
  private static final Duration RECORD_RETRY_DELAY = Duration.ofSeconds(1);

  private final Timing timing;
  private final LedgerSettings settings;
  private final Predicate<Incarnation> mayBeRunning;
  private final ShardStore store;
  private final Object lock = new Object();

  @GuardedBy("lock")
  private final List<ShardOperation> queue = new ArrayList<>();

  @GuardedBy("lock")
  private boolean writing;

  @GuardedBy("lock")
  private long nextWriteNanos = Long.MAX_VALUE;

  LedgerShard(
      Timing timing,
      Platform platform,
      LedgerSettings settings,
      RandomGenerator random,
      Predicate<Incarnation> mayBeRunning,
      String prefix) {
    this.timing = timing;
    this.settings = settings;
    this.mayBeRunning = mayBeRunning;
    this.store = new ShardStore(timing, platform, settings, random, prefix);
  }

  CompletionStage<ClaimResult> claim(ShardOperation.Claim claim) {
    enqueue(claim, settings.claimBatchDelay());
    return claim.result();
  }

  CompletionStage<RecordResult> end(ShardOperation.End end) {
    enqueue(end, settings.recordBatchDelay());
    return end.result();
  }

  private void enqueue(ShardOperation operation, Duration delay) {
    synchronized (lock) {
      queue.add(operation);
      scheduleWrite(delay);
    }
  }

  @GuardedBy("lock")
  private void scheduleWrite(Duration delay) {
    long dueNanos = timing.nanoTime() + delay.toNanos();
    if (!writing && dueNanos < nextWriteNanos) {
      nextWriteNanos = dueNanos;
      timing.schedule(delay, () -> writeBatch(dueNanos));
    }
  }

  private void writeBatch(long dueNanos) {
    ImmutableList<ShardOperation> batch;
    synchronized (lock) {
      if (writing || dueNanos != nextWriteNanos) {
        return;
      }
      nextWriteNanos = Long.MAX_VALUE;
      List<ShardOperation> taken = queue.subList(0, Math.min(MAX_BATCH_SIZE, queue.size()));
      batch = ImmutableList.copyOf(taken);
      taken.clear();
      writing = true;
    }
    attempt(failExpired(batch), MAX_UPDATE_ATTEMPTS, false)
        .whenComplete((ignored, error) -> onBatchDone(batch, Optional.ofNullable(error)));
  }

  private void onBatchDone(ImmutableList<ShardOperation> batch, Optional<Throwable> error) {
    error.ifPresent(
        cause -> {
          LOGGER.log(
              System.Logger.Level.ERROR,
              "ledger: writing a batch failed; failing all its operations",
              cause);
          batch.forEach(operation -> operation.fail(PlatformFailure.NO_ANSWER));
        });
    synchronized (lock) {
      writing = false;
      if (!queue.isEmpty()) {
        boolean hasClaims = queue.stream().anyMatch(ShardOperation.Claim.class::isInstance);
        scheduleWrite(hasClaims ? settings.claimBatchDelay() : settings.recordBatchDelay());
      }
    }
  }

  /**
   * Fails the operations whose deadline passed while they were queued, for example during a pause
   * of the process, and returns the others.
   */
  private ImmutableList<ShardOperation> failExpired(ImmutableList<ShardOperation> batch) {
    long now = timing.nanoTime();
    batch.stream()
        .filter(operation -> operation.deadline().hasPassed(now))
        .forEach(operation -> operation.fail(PlatformFailure.NO_ANSWER));
    return batch.stream()
        .filter(operation -> !operation.deadline().hasPassed(now))
        .collect(ImmutableList.toImmutableList());
  }

  /**
   * Plans the batch on the cached head and writes it.
   *
   * @param headIsFresh whether the head was read after this batch was formed
   */
  private CompletionStage<Void> attempt(
      ImmutableList<ShardOperation> batch, int attemptsLeft, boolean headIsFresh) {
    if (batch.isEmpty()) {
      return done();
    }
    if (store.cachedHead().isEmpty()) {
      return store.read().thenCompose(failure -> afterRead(failure, batch, attemptsLeft));
    }
    ImmutableSet<LedgerKey> keys =
        batch.stream().map(ShardOperation::key).collect(ImmutableSet.toImmutableSet());
    return store
        .findInPages(keys)
        .thenCompose(
            paged ->
                write(store.cachedHead().orElseThrow(), batch, paged, attemptsLeft, headIsFresh));
  }

  private CompletionStage<Void> afterRead(
      Optional<PlatformFailure> failure, ImmutableList<ShardOperation> batch, int attemptsLeft) {
    return failure.isPresent()
        ? failOrRequeue(batch, failure.get())
        : attempt(batch, attemptsLeft, true);
  }

  private CompletionStage<Void> write(
      ShardStore.CachedHead base,
      ImmutableList<ShardOperation> batch,
      ShardPages.PagedClaims paged,
      int attemptsLeft,
      boolean headIsFresh) {
    BatchPlan plan = plan(base, batch, paged);
    if (plan.operationsToWrite().isEmpty()) {
      return completeWithoutUpdate(plan, batch, attemptsLeft, headIsFresh);
    }
    if (attemptsLeft == 0) {
      return failOrRequeue(batch, PlatformFailure.NO_ANSWER);
    }
    plan.operationsToWrite().forEach(operation -> operation.setMayHaveTakenEffect(true));
    return store
        .update(base, plan.headClaims())
        .thenCompose(result -> onUpdate(result, plan, batch, attemptsLeft));
  }

  private BatchPlan plan(
      ShardStore.CachedHead base,
      ImmutableList<ShardOperation> batch,
      ShardPages.PagedClaims paged) {
    long nowMillis = timing.clock().instant().toEpochMilli();
    BatchPlan plan =
        new BatchPlan(
            new ClaimRules(base.head().floorMillis(), nowMillis, mayBeRunning),
            base.head().claims(),
            paged.claims(),
            ImmutableSet.copyOf(paged.unreadableKeys()));
    batch.forEach(plan::add);
    return plan;
  }

  /**
   * Completes the batch from the head if that was read for this batch, else reads the head first.
   */
  private CompletionStage<Void> completeWithoutUpdate(
      BatchPlan plan, ImmutableList<ShardOperation> batch, int attemptsLeft, boolean headIsFresh) {
    if (!headIsFresh) {
      store.invalidate();
      return attempt(batch, attemptsLeft, false);
    }
    plan.completeAll();
    return done();
  }

  private CompletionStage<Void> onUpdate(
      UpdateResult result, BatchPlan plan, ImmutableList<ShardOperation> batch, int attemptsLeft) {
    if (result instanceof UpdateResult.Written) {
      plan.completeAll();
      return done();
    }
    if (result instanceof UpdateResult.VersionChanged moved) {
      return store
          .install(moved.current())
          .thenCompose(failure -> afterRead(failure, batch, attemptsLeft - 1));
    }
    if (result instanceof UpdateResult.NotWritten refused) {
      plan.operationsToWrite().forEach(operation -> operation.setMayHaveTakenEffect(false));
      return failOrRequeue(batch, refused.failure());
    }
    return failOrRequeue(
        batch,
        result instanceof UpdateResult.Undetermined lost
            ? lost.failure()
            : PlatformFailure.NO_ANSWER);
  }

  /**
   * Fails the claims of a batch; outcomes and withdrawals are queued again until their deadline.
   */
  private CompletionStage<Void> failOrRequeue(
      ImmutableList<ShardOperation> batch, PlatformFailure failure) {
    long now = timing.nanoTime();
    for (ShardOperation operation : batch) {
      if (operation instanceof ShardOperation.End && !operation.deadline().hasPassed(now)) {
        timing.schedule(RECORD_RETRY_DELAY, () -> enqueue(operation, settings.recordBatchDelay()));
      } else {
        operation.fail(failure);
      }
    }
    return done();
  }

  private static CompletionStage<Void> done() {
    return CompletableFuture.completedFuture(null);
  }
}
