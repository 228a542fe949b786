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
 * Records at the platform which request has been claimed by whom, so that each key runs at most
 * once.
 *
 * <p>What guards what:
 *
 * <ul>
 *   <li>Two daemons that claim one key race for one conditional update of the shard's head; the
 *       version lets one of them through, the other reads the head again and finds the claim.
 *   <li>A daemon that froze before its update finds the version moved and starts over.
 *   <li>A lost answer is resolved by the claim's nonce once the version has moved; if it has not,
 *       it is moved first. A claim that cannot be resolved is {@link ClaimResult.Undetermined}:
 *       nobody runs it.
 *   <li>A daemon that freezes after its claim is the only one that may dispatch it, however late;
 *       {@link ClaimResult.Claimed#dispatchBefore} keeps it from doing so when nobody waits any
 *       more.
 *   <li>Keys that may have been forgotten are refused by a floor in the head, which moves with the
 *       pages that are dropped and not with anybody's clock.
 * </ul>
 *
 * <p>Any daemon may use any shard at any time. It is fast when one daemon usually writes a shard,
 * since that one gathers the claims of some milliseconds into one update and knows the head.
 */
public final class ClaimsLedger implements Claims {

  /** The number of shards; changing it would forget all claims. */
  public static final int SHARDS = 8;

  private final Timing timing;
  private final LedgerSettings settings;
  private final ImmutableList<LedgerShard> shards;

  /**
   * Makes a ledger that has read nothing yet.
   *
   * @param timing time and the scheduler
   * @param platform the platform's store
   * @param settings times and sizes
   * @param random the source of jitter and names, safe for use by several threads
   * @param mayBeRunning tells whether an incarnation may still be running
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

  /** Returns the number of the shard that a key belongs to. */
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
