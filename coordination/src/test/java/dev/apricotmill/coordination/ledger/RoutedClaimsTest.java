package dev.apricotmill.coordination.ledger;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableSortedMap;
import dev.apricotmill.coordination.identity.DaemonId;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.coordination.membership.Member;
import dev.apricotmill.coordination.membership.MemberState;
import dev.apricotmill.coordination.membership.MembershipView;
import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.coordination.membership.RendezvousHash;
import dev.apricotmill.coordination.testing.FakePlatform;
import dev.apricotmill.coordination.testing.PlatformFault;
import dev.apricotmill.coordination.testing.VirtualTime;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

final class RoutedClaimsTest {

  private static final int DAEMONS = 8;
  private static final int ORDERS_PER_SECOND = 550;
  private static final int SECONDS = 20;
  private static final RecordedOutcome DONE = new RecordedOutcome(200, new byte[100]);

  private final VirtualTime time = new VirtualTime();
  private final FakePlatform platform = new FakePlatform(time);
  private final FakeLedgerPeers peers = new FakeLedgerPeers();
  private final List<LedgerDaemon> daemons = new ArrayList<>();
  private final List<RoutedClaims> routers = new ArrayList<>();
  private final SplittableRandom random = new SplittableRandom(11);
  private long nextKey;

  RoutedClaimsTest() {
    for (int i = 0; i < DAEMONS; i++) {
      LedgerDaemon daemon =
          new LedgerDaemon(time, platform, "d" + i, LedgerSettings.defaults(), incarnation -> true);
      daemons.add(daemon);
      peers.register(address(i), daemon.scheduler(), daemon.ledger());
    }
    for (int i = 0; i < DAEMONS; i++) {
      Member self = member(i);
      routers.add(
          new RoutedClaims(
              time.timingOf(daemons.get(i).scheduler()),
              daemons.get(i).ledger(),
              peers.clientOf(daemons.get(i).scheduler()),
              RoutedSettings.defaults(),
              () -> self,
              this::view));
    }
  }

  @Test
  void claimsOf550OrdersPerSecondStayWithinThePlatformRateLimits() {
    List<CompletableFuture<ClaimResult>> results = new ArrayList<>();
    for (int i = 0; i < ORDERS_PER_SECOND * SECONDS; i++) {
      results.add(claimAndCompleteLater(random.nextInt(DAEMONS)));
      time.advance(Duration.ofNanos(1_000_000_000L / ORDERS_PER_SECOND));
    }
    time.advance(Duration.ofSeconds(5));
    for (CompletableFuture<ClaimResult> result : results) {
      assertThat(result.join()).isInstanceOf(ClaimResult.Claimed.class);
    }
    System.getLogger(RoutedClaimsTest.class.getName())
        .log(
            System.Logger.Level.INFO,
            "peak of {0} writes and {1} reads per second",
            platform.log().peakWritesPerSecond(),
            platform.log().peakReadsPerSecond());
    assertThat(platform.log().peakWritesPerSecond()).isAtMost(300);
    assertThat(platform.log().peakReadsPerSecond()).isAtMost(200);
  }

  @Test
  void anUnresponsiveWriterIsBypassedAndItsLostResponseGivesNoSecondClaim() {
    LedgerKey key = newKey();
    peers.dropResponses(true);
    CompletableFuture<ClaimResult> lost = claim(nonWriterOf(key), key);
    time.advance(Duration.ofSeconds(2));
    assertThat(lost.join()).isInstanceOf(ClaimResult.Claimed.class);
    peers.dropResponses(false);
    CompletableFuture<ClaimResult> repeat = claim(writerOf(key), key);
    time.advance(Duration.ofSeconds(2));
    assertThat(repeat.join()).isInstanceOf(ClaimResult.AlreadyClaimed.class);
  }

  @Test
  void aFailedLocalClaimAfterAnUnresponsiveWriterIsUndetermined() {
    LedgerKey key = newKey();
    int requester = nonWriterOf(key);
    peers.dropResponses(true);
    platform.failProcess("d" + requester, PlatformFault.UNREACHABLE);
    CompletableFuture<ClaimResult> lost = claim(requester, key);
    time.advance(Duration.ofSeconds(2));
    assertThat(lost.join()).isInstanceOf(ClaimResult.Undetermined.class);
  }

  @Test
  void aWriterWithoutThePlatformIsReplacedByTheRequestingDaemon() {
    LedgerKey key = newKey();
    platform.failProcess("d" + writerOf(key), PlatformFault.UNREACHABLE);
    CompletableFuture<ClaimResult> result = claim(nonWriterOf(key), key);
    time.advance(Duration.ofSeconds(2));
    assertThat(result.join()).isInstanceOf(ClaimResult.Claimed.class);
  }

  private CompletableFuture<ClaimResult> claimAndCompleteLater(int index) {
    RoutedClaims router = routers.get(index);
    ClaimRequest request = daemons.get(index).request(newKey());
    CompletableFuture<ClaimResult> result = router.claim(request).toCompletableFuture();
    result.thenRun(
        () ->
            time.timingOf(daemons.get(index).scheduler())
                .schedule(
                    Duration.ofMillis(200 + random.nextInt(600)),
                    () -> router.complete(request.key(), request.nonce(), DONE)));
    return result;
  }

  private CompletableFuture<ClaimResult> claim(int index, LedgerKey key) {
    return routers.get(index).claim(daemons.get(index).request(key)).toCompletableFuture();
  }

  private LedgerKey newKey() {
    return TimestampedKeys.at(time.clock().instant(), nextKey++);
  }

  private int writerOf(LedgerKey key) {
    Member writer =
        RendezvousHash.owner(view().owners(), "ledger/" + ClaimsLedger.shardOf(key)).orElseThrow();
    return writer.address().port() - 1;
  }

  private int nonWriterOf(LedgerKey key) {
    return (writerOf(key) + 1) % DAEMONS;
  }

  private MembershipView view() {
    ImmutableSortedMap.Builder<DaemonId, Member> members = ImmutableSortedMap.naturalOrder();
    for (int i = 0; i < DAEMONS; i++) {
      members.put(new DaemonId("d" + i), member(i));
    }
    return new MembershipView(members.buildOrThrow());
  }

  private Member member(int index) {
    return new Member(
        daemons.get(index).incarnation(), new Zone("z1"), address(index), MemberState.ALIVE);
  }

  private static PeerAddress address(int index) {
    return new PeerAddress("127.0.0.1", 1 + index);
  }
}
