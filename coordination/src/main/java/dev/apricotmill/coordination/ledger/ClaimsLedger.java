package dev.apricotmill.coordination.ledger;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.Hashing;
import dev.apricotmill.coordination.identity.Incarnation;
import dev.apricotmill.coordination.platform.Platform;
import dev.apricotmill.coordination.time.Timing;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletionStage;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;

/**
 * Records in the platform's object store which daemon has claimed which request, so that the
 * request of each key runs at most once.
 *
 * <p>How each failure is handled:
 *
 * <ul>
 *   <li>Two daemons claim the same key: both try a conditional update of the shard's head. The
 *       version check lets only one succeed; the other reads the head again and finds the claim.
 *   <li>A daemon is paused before its update: it finds that the version has changed and starts
 *       over.
 *   <li>The response to an update is lost: once the version of the head has changed, the claim's
 *       nonce shows whether the update succeeded. If the version has not changed, the daemon first
 *       changes it by writing the old value again. A claim that cannot be resolved is {@link
 *       ClaimResult.Undetermined}, and nobody runs it.
 *   <li>A daemon is paused after its claim: it remains the only one that may dispatch the request.
 *       {@link ClaimResult.Claimed#dispatchBefore} keeps it from a dispatch that nobody waits for
 *       any more.
 *   <li>A claim has been dropped after the retention: the head stores a floor, and keys with an
 *       earlier creation time are refused. The floor follows the times in the dropped pages and
 *       does not depend on any clock.
 * </ul>
 *
 * <p>Any daemon may use any shard at any time. It is faster if one daemon makes most writes to a
 * shard, since that daemon batches the claims of some milliseconds into one update and has the head
 * cached.
 */
public final class ClaimsLedger implements Claims {

  /**
   * The number of shards. A change would map keys to other shards, where their claims are not
   * found.
   */
  public static final int SHARDS = 8;

  private final Timing timing;
  private final LedgerSettings settings;
  private final ImmutableList<LedgerShard> shards;

  /**
   * Creates a ledger; the head of a shard is read at its first use.
   *
   * @param timing the clocks and the scheduler
   * @param platform the platform's object store
   * @param settings times and sizes
   * @param random the source of jitter and page names, safe for use by several threads
   * @param mayBeRunning returns whether an incarnation may still be running
   */
  public ClaimsLedger(
      Timing timing,
      Platform platform,
      LedgerSettings settings,
      RandomGenerator random,
      Predicate<Incarnation> mayBeRunning) {
    this.timing = timing;
    this.settings = settings;
    this.shards =
        IntStream.range(0, SHARDS)
            .mapToObj(
                shard ->
                    new LedgerShard(
                        timing, platform, settings, random, mayBeRunning, "ledger/" + shard + "/"))
            .collect(ImmutableList.toImmutableList());
  }

  /** Returns the shard of a key, from 0 to {@link #SHARDS} - 1. */
  public static int shardOf(LedgerKey key) {
    int hash = Hashing.murmur3_128().hashString(key.text(), StandardCharsets.UTF_8).asInt();
    return Math.floorMod(hash, SHARDS);
  }

  @Override
  public CompletionStage<ClaimResult> claim(ClaimRequest request) {
    return shards
        .get(shardOf(request.key()))
        .claim(
            new ShardOperation.Claim(
                request,
                timing.deadlineAfter(settings.claimTimeout()),
                timing.deadlineAfter(settings.claimValidity())));
  }

  @Override
  public CompletionStage<RecordResult> complete(
      LedgerKey key, ClaimNonce nonce, RecordedOutcome outcome) {
    return end(key, nonce, new ClaimEnd.Finished(outcome));
  }

  @Override
  public CompletionStage<RecordResult> withdraw(LedgerKey key, ClaimNonce nonce) {
    return end(key, nonce, new ClaimEnd.Withdrawn());
  }

  private CompletionStage<RecordResult> end(LedgerKey key, ClaimNonce nonce, ClaimEnd end) {
    return shards
        .get(shardOf(key))
        .end(
            new ShardOperation.End(
                key, nonce, end, timing.deadlineAfter(settings.recordTimeout())));
  }
}
