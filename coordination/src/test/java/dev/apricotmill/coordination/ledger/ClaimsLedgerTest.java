package dev.apricotmill.coordination.ledger;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import dev.apricotmill.coordination.identity.Incarnation;
import dev.apricotmill.coordination.platform.PlatformFailure;
import dev.apricotmill.coordination.testing.FakePlatform;
import dev.apricotmill.coordination.testing.PlatformFault;
import dev.apricotmill.coordination.testing.PlatformOperation;
import dev.apricotmill.coordination.testing.PlatformRequest;
import dev.apricotmill.coordination.testing.VirtualTime;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.junit.jupiter.api.Test;

final class ClaimsLedgerTest {

  private static final RecordedOutcome DONE = new RecordedOutcome(200, "off".getBytes(UTF_8));

  private final VirtualTime time = new VirtualTime();
  private final FakePlatform platform = new FakePlatform(time);
  private final LedgerDaemon first = newDaemon("a");
  private final LedgerDaemon second = newDaemon("b");
  private long nextKey;

  @Test
  void aRepeatedKeyGetsTheFirstOutcome() {
    LedgerKey key = newKey();
    ClaimRequest request = first.request(key);
    assertThat(await(first.ledger().claim(request))).isInstanceOf(ClaimResult.Claimed.class);
    assertThat(await(second.claim(key)))
        .isEqualTo(new ClaimResult.AlreadyClaimed(first.incarnation()));
    assertThat(await(first.ledger().complete(key, request.nonce(), DONE)))
        .isEqualTo(new RecordResult.Recorded());
    assertThat(await(second.claim(key))).isEqualTo(new ClaimResult.AlreadyFinished(DONE));
  }

  @Test
  void aKeyReusedForAnotherRequestIsRefused() {
    LedgerKey key = newKey();
    await(first.claim(key));
    assertThat(await(second.ledger().claim(second.request(key, "another order"))))
        .isEqualTo(new ClaimResult.KeyReused());
  }

  @Test
  void exactlyOneOfTwoRacingDaemonsClaimsAKey() {
    for (int round = 0; round < 20; round++) {
      LedgerKey key = newKey();
      CompletableFuture<ClaimResult> one = first.claim(key);
      CompletableFuture<ClaimResult> two = second.claim(key);
      assertThat(countClaimed(await(one), await(two))).isEqualTo(1);
    }
  }

  @Test
  void aRepeatGetsRunnerGoneAfterTheRunnerRestarts() {
    LedgerKey key = newKey();
    await(first.claim(key));
    first.restart();
    assertThat(await(second.claim(key))).isInstanceOf(ClaimResult.RunnerGone.class);
    assertThat(await(first.claim(key))).isInstanceOf(ClaimResult.RunnerGone.class);
  }

  @Test
  void aWithdrawnKeyMayBeClaimedAgain() {
    LedgerKey key = newKey();
    ClaimRequest request = first.request(key);
    await(first.ledger().claim(request));
    await(first.ledger().withdraw(key, request.nonce()));
    assertThat(await(second.claim(key))).isInstanceOf(ClaimResult.Claimed.class);
  }

  @Test
  void aLostResponseToASuccessfulWriteIsResolvedByTheNonce() {
    LedgerKey key = newKeyInWarmShard();
    platform.failNext(1, PlatformFault.ANSWER_LOST, ClaimsLedgerTest::isHeadPut);
    assertThat(await(first.claim(key))).isInstanceOf(ClaimResult.Claimed.class);
    assertThat(await(second.claim(key))).isInstanceOf(ClaimResult.AlreadyClaimed.class);
  }

  @Test
  void aDelayedWriteCannotAddASecondClaim() {
    LedgerKey key = newKeyInWarmShard();
    platform.failNext(1, PlatformFault.DELAYED_WRITE, ClaimsLedgerTest::isHeadPut);
    CompletableFuture<ClaimResult> late = first.claim(key);
    time.advance(Duration.ofMillis(500));
    ClaimResult other = await(second.claim(key));
    time.advance(Duration.ofSeconds(20));
    assertThat(countClaimed(late.join(), other)).isEqualTo(1);
  }

  @Test
  void aClaimThatCannotBeReadBackIsUndeterminedAndNobodyRunsIt() {
    LedgerKey key = newKeyInWarmShard();
    platform.failNext(1, PlatformFault.ANSWER_LOST, ClaimsLedgerTest::isHeadPut);
    CompletableFuture<ClaimResult> lost = first.claim(key);
    time.advance(Duration.ofMillis(100));
    platform.fail(PlatformFault.UNREACHABLE);
    assertThat(await(lost)).isInstanceOf(ClaimResult.Undetermined.class);
    platform.heal();
    assertThat(await(second.claim(key))).isInstanceOf(ClaimResult.AlreadyClaimed.class);
  }

  @Test
  void aClaimWithoutThePlatformIsUnavailableAndNotRecorded() {
    LedgerKey key = newKeyInWarmShard();
    platform.fail(PlatformFault.UNREACHABLE);
    assertThat(await(first.claim(key)))
        .isEqualTo(new ClaimResult.Unavailable(PlatformFailure.UNREACHABLE));
    platform.heal();
    assertThat(await(second.claim(key))).isInstanceOf(ClaimResult.Claimed.class);
  }

  @Test
  void aDaemonPausedBeforeItsUpdateDoesNotGetTheClaim() {
    LedgerKey key = newKeyInWarmShard();
    CompletableFuture<ClaimResult> paused = first.claim(key);
    first.scheduler().pause();
    ClaimResult other = await(second.claim(key));
    first.scheduler().resume();
    assertThat(other).isInstanceOf(ClaimResult.Claimed.class);
    assertThat(await(paused)).isNotInstanceOf(ClaimResult.Claimed.class);
  }

  @Test
  void aDaemonPausedAfterItsUpdateFindsItsDispatchDeadlinePassed() {
    LedgerKey key = newKeyInWarmShard();
    CompletableFuture<ClaimResult> paused = first.claim(key);
    time.advance(Duration.ofMillis(25));
    first.scheduler().pause();
    time.advance(Duration.ofSeconds(30));
    first.scheduler().resume();
    ClaimResult.Claimed claimed = (ClaimResult.Claimed) await(paused);
    assertThat(claimed.dispatchBefore().hasPassed(time.nanoTime())).isTrue();
    assertThat(await(second.claim(key))).isInstanceOf(ClaimResult.AlreadyClaimed.class);
  }

  @Test
  void keysOutsideTheirWindowAreRefused() {
    Instant now = time.clock().instant();
    assertThat(await(first.claim(TimestampedKeys.at(now.minusSeconds(601), 1))))
        .isEqualTo(new ClaimResult.TooOld());
    assertThat(await(first.claim(TimestampedKeys.at(now.plusSeconds(90), 2))))
        .isEqualTo(new ClaimResult.FromFuture());
    assertThat(await(first.claim(TimestampedKeys.at(now.minusSeconds(500), 3))))
        .isInstanceOf(ClaimResult.Claimed.class);
  }

  @Test
  void aRepeatedOpaqueKeyIsFoundWithinTheRetention() {
    LedgerKey key = new LedgerKey("booking 2026/17");
    ClaimRequest request = first.request(key);
    await(first.ledger().claim(request));
    await(first.ledger().complete(key, request.nonce(), DONE));
    fillShardOf(key, 600);
    time.advance(Duration.ofMinutes(14));
    assertThat(await(second.claim(key))).isEqualTo(new ClaimResult.AlreadyFinished(DONE));
  }

  @Test
  void anExpiredKeyIsRefusedRegardlessOfTheDaemonsClock() {
    LedgerKey expired = newKey();
    await(first.claim(expired));
    fillShardOf(expired, 800);
    time.advance(Duration.ofMinutes(20));
    fillShardOf(expired, 800);
    KeyWindow wideWindow = new KeyWindow(Duration.ofDays(1), Duration.ofMinutes(1));
    ClaimRequest request = second.request(expired);
    ClaimRequest repeat =
        new ClaimRequest(
            expired, request.fingerprint(), request.runner(), request.nonce(), wideWindow);
    assertThat(await(second.ledger().claim(repeat))).isEqualTo(new ClaimResult.TooOld());
  }

  @Test
  void claimsInSealedPagesAreFoundByADaemonWithoutCachedState() {
    List<LedgerKey> keys = new ArrayList<>();
    List<ClaimRequest> requests = new ArrayList<>();
    for (int i = 0; i < 2500; i++) {
      keys.add(newKey());
      requests.add(first.request(keys.get(i)));
      first.ledger().claim(requests.get(i));
      if (i % 50 == 0) {
        time.advance(Duration.ofMillis(100));
      }
    }
    time.advance(Duration.ofSeconds(10));
    for (ClaimRequest request : requests) {
      first.ledger().complete(request.key(), request.nonce(), DONE);
      time.advance(Duration.ofMillis(2));
    }
    time.advance(Duration.ofSeconds(2));
    first.restart();
    List<CompletableFuture<ClaimResult>> repeats =
        keys.stream().map(key -> second.claim(key)).toList();
    time.advance(Duration.ofSeconds(3));
    for (CompletableFuture<ClaimResult> repeat : repeats) {
      assertThat(repeat.join()).isEqualTo(new ClaimResult.AlreadyFinished(DONE));
    }
    assertThat(pagePuts()).isGreaterThan(8L);
  }

  @Test
  void anOutageDuringABatchUpdateNeverLeavesARefusedClaimRecorded() {
    for (PlatformFault fault : PlatformFault.values()) {
      LedgerKey key = newKeyInWarmShard();
      platform.failFor(Duration.ofSeconds(4), fault, request -> true);
      ClaimResult result = await(first.claim(key));
      time.advance(Duration.ofSeconds(30));
      ClaimResult repeat = await(second.claim(key));
      assertThat(countClaimed(result, repeat)).isAtMost(1);
      if (result instanceof ClaimResult.Unavailable) {
        assertThat(repeat).isInstanceOf(ClaimResult.Claimed.class);
      }
    }
  }

  private LedgerDaemon newDaemon(String name) {
    return new LedgerDaemon(
        time,
        platform,
        name,
        LedgerSettings.defaults(),
        incarnation -> incarnation.equals(incarnationOf(incarnation.daemon().name())));
  }

  private Incarnation incarnationOf(String name) {
    return (name.equals("a") ? first : second).incarnation();
  }

  private LedgerKey newKey() {
    return TimestampedKeys.at(time.clock().instant(), nextKey++);
  }

  /** Returns a new key in a shard whose head both daemons have cached. */
  private LedgerKey newKeyInWarmShard() {
    LedgerKey key = newKey();
    LedgerKey other = newKeyInShardOf(key);
    await(first.claim(other));
    await(second.claim(other));
    return key;
  }

  private LedgerKey newKeyInShardOf(LedgerKey key) {
    LedgerKey other = newKey();
    while (ClaimsLedger.shardOf(other) != ClaimsLedger.shardOf(key)) {
      other = newKey();
    }
    return other;
  }

  private void fillShardOf(LedgerKey key, int claims) {
    for (int i = 0; i < claims; i++) {
      ClaimRequest request = first.request(newKeyInShardOf(key));
      first.ledger().claim(request);
      first.ledger().withdraw(request.key(), request.nonce());
      first.claim(newKeyInShardOf(key));
      time.advance(Duration.ofMillis(20));
    }
    time.advance(Duration.ofSeconds(2));
  }

  private long pagePuts() {
    return platform
        .log()
        .count(
            call -> call.operation() == PlatformOperation.PUT && call.path().contains("/pages/"));
  }

  private static boolean isHeadPut(PlatformRequest call) {
    return call.operation() == PlatformOperation.PUT && call.path().endsWith("/head");
  }

  private static long countClaimed(ClaimResult... results) {
    return List.of(results).stream().filter(ClaimResult.Claimed.class::isInstance).count();
  }

  private <T> T await(CompletionStage<T> stage) {
    for (int i = 0; i < 2000 && !stage.toCompletableFuture().isDone(); i++) {
      time.advance(Duration.ofMillis(10));
    }
    return stage.toCompletableFuture().join();
  }
}
