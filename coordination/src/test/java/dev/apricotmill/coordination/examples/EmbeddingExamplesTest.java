package dev.apricotmill.coordination.examples;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import dev.apricotmill.coordination.configuration.ChangeResult;
import dev.apricotmill.coordination.configuration.ConfigurationChange;
import dev.apricotmill.coordination.configuration.ConfigurationFollower;
import dev.apricotmill.coordination.configuration.ConfigurationStore;
import dev.apricotmill.coordination.configuration.FollowerSettings;
import dev.apricotmill.coordination.configuration.PartContent;
import dev.apricotmill.coordination.identity.DaemonId;
import dev.apricotmill.coordination.identity.Incarnation;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.coordination.lease.Lease;
import dev.apricotmill.coordination.lease.LeaseListener;
import dev.apricotmill.coordination.lease.LeaseSettings;
import dev.apricotmill.coordination.lease.LeaseState;
import dev.apricotmill.coordination.ledger.ClaimNonce;
import dev.apricotmill.coordination.ledger.ClaimRequest;
import dev.apricotmill.coordination.ledger.ClaimResult;
import dev.apricotmill.coordination.ledger.ClaimsLedger;
import dev.apricotmill.coordination.ledger.KeyWindow;
import dev.apricotmill.coordination.ledger.LedgerKey;
import dev.apricotmill.coordination.ledger.LedgerSettings;
import dev.apricotmill.coordination.ledger.RecordedOutcome;
import dev.apricotmill.coordination.ledger.RequestFingerprint;
import dev.apricotmill.coordination.membership.Member;
import dev.apricotmill.coordination.membership.MemberState;
import dev.apricotmill.coordination.membership.Membership;
import dev.apricotmill.coordination.membership.MembershipListener;
import dev.apricotmill.coordination.membership.MembershipSettings;
import dev.apricotmill.coordination.membership.MembershipView;
import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.coordination.membership.PeerProbes;
import dev.apricotmill.coordination.platform.ObjectKey;
import dev.apricotmill.coordination.platform.Platform;
import dev.apricotmill.coordination.platform.WriterSettings;
import dev.apricotmill.coordination.retry.Backoff;
import dev.apricotmill.coordination.retry.RetryBudget;
import dev.apricotmill.coordination.testing.FakePeerNetwork;
import dev.apricotmill.coordination.testing.FakePlatform;
import dev.apricotmill.coordination.testing.VirtualScheduler;
import dev.apricotmill.coordination.testing.VirtualTime;
import dev.apricotmill.coordination.time.Deadline;
import dev.apricotmill.coordination.time.Timing;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletionStage;
import java.util.random.RandomGenerator;
import org.junit.jupiter.api.Test;

/**
 * The code examples of {@code docs/EMBEDDING.md}. The page shows the code between each "example"
 * comment and the next "end" comment.
 */
final class EmbeddingExamplesTest {

  private final VirtualTime time = new VirtualTime();
  private final VirtualScheduler scheduler = time.newScheduler();
  private final Timing timing = time.timingOf(scheduler);
  private final Zone zone = new Zone("lisbon-1");
  private final Platform platform = new FakePlatform(time).clientFor("daemon-1", zone, scheduler);
  private final PeerProbes probes =
      new FakePeerNetwork(time).clientFor("daemon-1", zone, scheduler);
  private final RandomGenerator random = new SplittableRandom(1);
  private final Incarnation incarnation = new Incarnation(new DaemonId("daemon-1"), 1);
  private final Member self =
      new Member(incarnation, zone, new PeerAddress("127.0.0.1", 7100), MemberState.ALIVE);
  private final List<String> done = new ArrayList<>();

  @Test
  void leaseWithFencing() {
    // example: lease
    LeaseListener listener =
        new LeaseListener() {
          @Override
          public void onAcquired(LeaseState.Held held) {
            done.add("begin with fencing number " + held.fencingNumber());
          }

          @Override
          public void onLost() {
            done.add("give no more orders");
          }
        };
    Lease lease =
        new Lease(
            timing,
            platform,
            LeaseSettings.defaults(),
            random,
            new ObjectKey("lease/engine-orders/lisbon-1"),
            incarnation,
            listener);
    lease.start();
    time.advance(Duration.ofSeconds(1));
    lease.fencingNumber().ifPresent(number -> done.add("order carrying " + number));
    lease.close();
    // end
    assertThat(done).hasSize(3);
    assertThat(lease.fencingNumber()).isEmpty();
  }

  @Test
  void claimsLedger() {
    // example: ledger
    ClaimsLedger ledger =
        new ClaimsLedger(
            timing, platform, LedgerSettings.defaults(), random, runner -> isAlive(runner));
    ClaimRequest request =
        new ClaimRequest(
            new LedgerKey("01a1f78a-5300-7000-8000-000000000001"),
            RequestFingerprint.of("switch off 17".getBytes(UTF_8)),
            incarnation,
            ClaimNonce.next(random),
            new KeyWindow(Duration.ofMinutes(10), Duration.ofMinutes(1)));
    ledger
        .claim(request)
        .thenAccept(
            result -> {
              boolean mayDispatch =
                  result instanceof ClaimResult.Claimed claimed
                      && !claimed.dispatchBefore().hasPassed(timing.nanoTime());
              if (mayDispatch) {
                done.add("dispatch once");
                RecordedOutcome outcome = new RecordedOutcome(200, "off".getBytes(UTF_8));
                ledger.complete(request.key(), request.nonce(), outcome);
              }
            });
    // end
    time.advance(Duration.ofSeconds(2));
    assertThat(done).containsExactly("dispatch once");
  }

  @Test
  void membership() {
    // example: membership
    MembershipListener listener =
        new MembershipListener() {
          @Override
          public void onViewChanged(MembershipView view) {
            done.add("members: " + view.members().size());
          }

          @Override
          public void onReplaced(Member newSelf) {
            done.add("drop what was queued before " + newSelf.incarnation());
          }

          @Override
          public void onPeerGeneration(PeerAddress peer, long generation) {}
        };
    Membership membership =
        new Membership(timing, self, probes, MembershipSettings.defaults(), listener, () -> 0L);
    membership.start();
    time.advance(Duration.ofSeconds(1));
    String steward =
        membership.view().owner(zone, "replica-4").orElseThrow().incarnation().toString();
    boolean wasFrozen = membership.noticePause();
    // end
    assertThat(steward).isEqualTo("daemon-1#1");
    assertThat(wasFrozen).isFalse();
    scheduler.pause();
    time.advance(Duration.ofSeconds(10));
    scheduler.resume();
    time.advance(Duration.ofSeconds(1));
    assertThat(done).contains("drop what was queued before daemon-1#2");
  }

  @Test
  void configurationRelay() {
    // example: configuration
    ConfigurationStore store =
        new ConfigurationStore(timing, platform, WriterSettings.defaults(), random);
    PartContent rules = PartContent.copyOf("{}".getBytes(UTF_8));
    CompletionStage<ChangeResult> change =
        store.propose(
            new ConfigurationChange(0, ImmutableMap.of("rules", rules), "ana", "change-1"));

    Membership membership = newMembership();
    ConfigurationFollower follower =
        new ConfigurationFollower(
            timing,
            platform,
            probes,
            FollowerSettings.defaults(),
            random,
            membership::self,
            membership::view,
            bundle -> done.add("in force: " + bundle.generation()));
    follower.start();
    // end
    time.advance(Duration.ofSeconds(10));
    assertThat(change.toCompletableFuture().join()).isInstanceOf(ChangeResult.Accepted.class);
    assertThat(done).containsExactly("in force: 1");
    assertThat(follower.isReady()).isTrue();
  }

  @Test
  void deadline() {
    // example: deadline
    Deadline deadline = timing.deadlineAfter(Duration.ofSeconds(3));
    time.advance(Duration.ofSeconds(1));
    Duration sentWithTheRequest = deadline.remaining(timing.nanoTime());
    Deadline atTheNextDaemon = timing.deadlineAfter(sentWithTheRequest);
    // end
    assertThat(atTheNextDaemon).isEqualTo(deadline);
    assertThat(deadline.hasPassed(timing.nanoTime())).isFalse();
  }

  @Test
  void retryBudget() {
    // example: retry
    RetryBudget budget = new RetryBudget(100, 10);
    Backoff backoff = new Backoff(Duration.ofMillis(50), Duration.ofSeconds(2));
    budget.onRequest();
    if (budget.tryTake()) {
      timing.schedule(backoff.delay(1, random), () -> done.add("try again"));
    }
    // end
    time.advance(Duration.ofSeconds(1));
    assertThat(done).containsExactly("try again");
  }

  private Membership newMembership() {
    MembershipListener ignoringListener =
        new MembershipListener() {
          @Override
          public void onViewChanged(MembershipView view) {}

          @Override
          public void onReplaced(Member newSelf) {}

          @Override
          public void onPeerGeneration(PeerAddress peer, long generation) {}
        };
    Membership membership =
        new Membership(
            timing, self, probes, MembershipSettings.defaults(), ignoringListener, () -> 0L);
    membership.updateMachines(ImmutableList.of());
    return membership;
  }

  private boolean isAlive(Incarnation runner) {
    return runner.equals(incarnation);
  }
}
