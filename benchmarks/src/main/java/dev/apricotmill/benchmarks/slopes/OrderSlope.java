package dev.apricotmill.benchmarks.slopes;

import com.google.common.collect.ImmutableSortedMap;
import dev.apricotmill.coordination.identity.DaemonId;
import dev.apricotmill.coordination.identity.Incarnation;
import dev.apricotmill.coordination.ledger.ClaimNonce;
import dev.apricotmill.coordination.ledger.ClaimRequest;
import dev.apricotmill.coordination.ledger.ClaimResult;
import dev.apricotmill.coordination.ledger.ClaimsLedger;
import dev.apricotmill.coordination.ledger.KeyWindow;
import dev.apricotmill.coordination.ledger.LedgerEndpoint;
import dev.apricotmill.coordination.ledger.LedgerKey;
import dev.apricotmill.coordination.ledger.LedgerSettings;
import dev.apricotmill.coordination.ledger.RecordedOutcome;
import dev.apricotmill.coordination.ledger.RequestFingerprint;
import dev.apricotmill.coordination.ledger.RoutedClaims;
import dev.apricotmill.coordination.ledger.RoutedSettings;
import dev.apricotmill.coordination.membership.Member;
import dev.apricotmill.coordination.membership.MemberState;
import dev.apricotmill.coordination.membership.MembershipView;
import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.coordination.testing.FakePlatform;
import dev.apricotmill.coordination.testing.VirtualScheduler;
import dev.apricotmill.coordination.testing.VirtualTime;
import dev.apricotmill.coordination.time.Timing;
import dev.apricotmill.testhelpers.peers.InProcessNetwork;
import dev.apricotmill.testhelpers.peers.InProcessPeers;
import java.io.PrintStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.UUID;
import java.util.concurrent.TimeUnit;

/** What the claims ledger asks of the platform as orders with a key grow, with 24 daemons. */
final class OrderSlope {

  private static final int DAEMONS = 24;
  private static final int SECONDS = 20;
  private static final Duration SERVICE_TIME = Duration.ofMillis(300);
  private static final KeyWindow WINDOW =
      new KeyWindow(Duration.ofMinutes(10), Duration.ofMinutes(1));
  private static final RecordedOutcome DONE = new RecordedOutcome(0, new byte[64]);
  private static final long VERSION_SEVEN = 0x7000L;
  private static final long VARIANT = 0x8000_0000_0000_0000L;
  private static final int TIME_SHIFT_BITS = 16;

  private final VirtualTime time = new VirtualTime();
  private final FakePlatform platform = new FakePlatform(time);
  private final InProcessNetwork network = new InProcessNetwork();
  private final SplittableRandom random = new SplittableRandom(1);
  private final List<RoutedClaims> routers = new ArrayList<>();
  private final List<Timing> timings = new ArrayList<>();
  private long claimed;
  private long answered;

  private OrderSlope() {
    MembershipView view = view();
    for (int index = 0; index < DAEMONS; index++) {
      addDaemon(index, view);
    }
  }

  static void print(PrintStream out, List<Integer> rates) {
    out.println("Orders with a key: calls on the platform, 24 daemons");
    out.printf(
        "%10s %14s %16s %14s %12s%n",
        "orders/s", "writes/s", "most writes/s", "reads/s", "claimed");
    for (int rate : rates) {
      new OrderSlope().measure(out, rate);
    }
  }

  private void measure(PrintStream out, int ordersPerSecond) {
    for (int order = 0; order < ordersPerSecond * SECONDS; order++) {
      send(random.nextInt(DAEMONS), order);
      time.advance(Duration.ofNanos(TimeUnit.SECONDS.toNanos(1) / ordersPerSecond));
    }
    time.advance(Duration.ofSeconds(3));
    double writes =
        (double) platform.log().count(request -> request.operation().isWrite()) / SECONDS;
    double reads =
        (double) platform.log().count(request -> !request.operation().isWrite()) / SECONDS;
    out.printf(
        "%10d %14.1f %16d %14.1f %11.1f%%%n",
        ordersPerSecond,
        writes,
        platform.log().peakWritesPerSecond(),
        reads,
        100.0 * claimed / answered);
  }

  private void send(int daemon, int order) {
    RoutedClaims router = routers.get(daemon);
    ClaimRequest request =
        new ClaimRequest(
            key(order),
            new RequestFingerprint("0"),
            member(daemon).incarnation(),
            ClaimNonce.next(random),
            WINDOW);
    router
        .claim(request)
        .thenAccept(
            result -> {
              answered++;
              if (result instanceof ClaimResult.Claimed) {
                claimed++;
                timings
                    .get(daemon)
                    .schedule(
                        SERVICE_TIME, () -> router.complete(request.key(), request.nonce(), DONE));
              }
            });
  }

  private LedgerKey key(int order) {
    long millis = time.clock().instant().toEpochMilli();
    long high = (millis << TIME_SHIFT_BITS) | VERSION_SEVEN;
    return new LedgerKey(new UUID(high, VARIANT | order).toString());
  }

  private void addDaemon(int index, MembershipView view) {
    VirtualScheduler scheduler = time.newScheduler();
    Timing timing = time.timingOf(scheduler);
    Member self = member(index);
    InProcessPeers peers = network.join(self.address(), timing);
    ClaimsLedger ledger =
        new ClaimsLedger(
            timing,
            platform.clientFor(self.incarnation().daemon().name(), self.zone(), scheduler),
            LedgerSettings.defaults(),
            new SplittableRandom(index),
            incarnation -> true);
    LedgerEndpoint endpoint = new LedgerEndpoint(ledger);
    peers.serveLedger(endpoint::onRequest);
    timings.add(timing);
    routers.add(
        new RoutedClaims(timing, ledger, peers, RoutedSettings.defaults(), () -> self, () -> view));
  }

  private static MembershipView view() {
    ImmutableSortedMap.Builder<DaemonId, Member> members = ImmutableSortedMap.naturalOrder();
    for (int index = 0; index < DAEMONS; index++) {
      members.put(member(index).incarnation().daemon(), member(index));
    }
    return new MembershipView(members.buildOrThrow());
  }

  private static Member member(int index) {
    return new Member(
        new Incarnation(new DaemonId("entry-" + index), 1),
        FleetConfiguration.zone(index),
        new PeerAddress("10.0.0." + (index + 1), 7000),
        MemberState.ALIVE);
  }
}
