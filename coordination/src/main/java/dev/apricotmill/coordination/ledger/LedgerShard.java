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
 * One shard of the ledger as one process sees it: gathers operations for a moment and writes them
 * in one conditional update of the shard's head.
 *
 * <p>One group is written at a time. What is kept in memory is a copy of one version of the head; a
 * group that was planned on it stands only if the update finds that version.
 */
final class LedgerShard {

  private static final System.Logger LOGGER = System.getLogger(LedgerShard.class.getName());
  private static final int MAX_GROUP = 400;
  private static final int MAX_ATTEMPTS = 6;
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
  private long dueNanos = Long.MAX_VALUE;

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
    enqueue(claim, settings.groupDelay());
    return claim.result();
  }

  CompletionStage<RecordResult> end(ShardOperation.End end) {
    enqueue(end, settings.recordDelay());
    return end.result();
  }

  private void enqueue(ShardOperation operation, Duration delay) {
    synchronized (lock) {
      queue.add(operation);
      schedule(delay);
    }
  }

  @GuardedBy("lock")
  private void schedule(Duration delay) {
    long due = timing.nanoTime() + delay.toNanos();
    if (!writing && due < dueNanos) {
      dueNanos = due;
      timing.schedule(delay, () -> writeGroup(due));
    }
  }

  private void writeGroup(long due) {
    ImmutableList<ShardOperation> group;
    synchronized (lock) {
      if (writing || due != dueNanos) {
        return;
      }
      dueNanos = Long.MAX_VALUE;
      List<ShardOperation> first = queue.subList(0, Math.min(MAX_GROUP, queue.size()));
      group = ImmutableList.copyOf(first);
      first.clear();
      writing = true;
    }
    attempt(withoutExpired(group), MAX_ATTEMPTS, false)
        .whenComplete((ignored, error) -> onGroupDone(group, Optional.ofNullable(error)));
  }

  private void onGroupDone(ImmutableList<ShardOperation> group, Optional<Throwable> error) {
    error.ifPresent(
        cause -> {
          LOGGER.log(System.Logger.Level.ERROR, "ledger: a group of claims failed", cause);
          group.forEach(operation -> operation.fail(PlatformFailure.NO_ANSWER));
        });
    synchronized (lock) {
      writing = false;
      if (!queue.isEmpty()) {
        boolean claims = queue.stream().anyMatch(ShardOperation.Claim.class::isInstance);
        schedule(claims ? settings.groupDelay() : settings.recordDelay());
      }
    }
  }

  /** Ends claims that waited too long, such as in a process that was frozen. */
  private ImmutableList<ShardOperation> withoutExpired(ImmutableList<ShardOperation> group) {
    long now = timing.nanoTime();
    group.stream()
        .filter(operation -> operation.deadline().hasPassed(now))
        .forEach(operation -> operation.fail(PlatformFailure.NO_ANSWER));
    return group.stream()
        .filter(operation -> !operation.deadline().hasPassed(now))
        .collect(ImmutableList.toImmutableList());
  }

  /**
   * Plans the group on the known head and writes it.
   *
   * @param fresh whether the head was read during this group
   */
  private CompletionStage<Void> attempt(
      ImmutableList<ShardOperation> group, int attempts, boolean fresh) {
    if (group.isEmpty()) {
      return done();
    }
    if (store.known().isEmpty()) {
      return store.read().thenCompose(failure -> afterRead(failure, group, attempts));
    }
    ImmutableSet<LedgerKey> keys =
        group.stream().map(ShardOperation::key).collect(ImmutableSet.toImmutableSet());
    return store
        .findInPages(keys)
        .thenCompose(paged -> write(store.known().orElseThrow(), group, paged, attempts, fresh));
  }

  private CompletionStage<Void> afterRead(
      Optional<PlatformFailure> failure, ImmutableList<ShardOperation> group, int attempts) {
    return failure.isPresent() ? fail(group, failure.get()) : attempt(group, attempts, true);
  }

  private CompletionStage<Void> write(
      ShardStore.KnownHead base,
      ImmutableList<ShardOperation> group,
      ShardPages.PagedClaims paged,
      int attempts,
      boolean fresh) {
    BatchPlan plan = plan(base, group, paged);
    if (plan.writing().isEmpty()) {
      return answerWithoutUpdate(plan, group, attempts, fresh);
    }
    if (attempts == 0) {
      return fail(group, PlatformFailure.NO_ANSWER);
    }
    plan.writing().forEach(operation -> operation.setMayStand(true));
    return store
        .update(base, plan.claims())
        .thenCompose(result -> onUpdate(result, plan, group, attempts));
  }

  private BatchPlan plan(
      ShardStore.KnownHead base,
      ImmutableList<ShardOperation> group,
      ShardPages.PagedClaims paged) {
    long nowMillis = timing.clock().instant().toEpochMilli();
    BatchPlan plan =
        new BatchPlan(
            new ClaimRules(base.head().floorMillis(), nowMillis, mayBeRunning),
            base.head().claims(),
            paged.claims(),
            ImmutableSet.copyOf(paged.unreadable()));
    group.forEach(plan::add);
    return plan;
  }

  /** Answers from the head if it was read for this group, else reads it first. */
  private CompletionStage<Void> answerWithoutUpdate(
      BatchPlan plan, ImmutableList<ShardOperation> group, int attempts, boolean fresh) {
    if (!fresh) {
      store.forget();
      return attempt(group, attempts, false);
    }
    plan.answer();
    return done();
  }

  private CompletionStage<Void> onUpdate(
      UpdateResult result, BatchPlan plan, ImmutableList<ShardOperation> group, int attempts) {
    if (result instanceof UpdateResult.Written) {
      plan.answer();
      return done();
    }
    if (result instanceof UpdateResult.VersionChanged moved) {
      return store
          .install(moved.current())
          .thenCompose(failure -> afterRead(failure, group, attempts - 1));
    }
    if (result instanceof UpdateResult.NotWritten refused) {
      plan.writing().forEach(operation -> operation.setMayStand(false));
      return fail(group, refused.failure());
    }
    return fail(
        group,
        result instanceof UpdateResult.Undetermined lost
            ? lost.failure()
            : PlatformFailure.NO_ANSWER);
  }

  /** Ends the claims of a group, and queues the ends of claims again while there is time. */
  private CompletionStage<Void> fail(ImmutableList<ShardOperation> group, PlatformFailure failure) {
    long now = timing.nanoTime();
    for (ShardOperation operation : group) {
      if (operation instanceof ShardOperation.End && !operation.deadline().hasPassed(now)) {
        timing.schedule(RECORD_RETRY_DELAY, () -> enqueue(operation, settings.recordDelay()));
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
