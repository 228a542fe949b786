package dev.apricotmill.node.relay;

import static com.google.common.truth.Truth.assertThat;

import dev.apricotmill.coordination.follow.FollowObserver;
import dev.apricotmill.coordination.follow.SharedFollower;
import dev.apricotmill.coordination.identity.DaemonId;
import dev.apricotmill.coordination.identity.Incarnation;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.coordination.membership.Member;
import dev.apricotmill.coordination.membership.MemberState;
import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.coordination.platform.ObjectKey;
import dev.apricotmill.coordination.platform.Platform;
import dev.apricotmill.coordination.platform.Precondition;
import dev.apricotmill.coordination.platform.ReadResult;
import dev.apricotmill.coordination.testing.FakePlatform;
import dev.apricotmill.coordination.testing.VirtualScheduler;
import dev.apricotmill.coordination.testing.VirtualTime;
import dev.apricotmill.coordination.time.Timing;
import java.time.Duration;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

final class BlockedPartDirectoryTest {

  private static final Zone ZONE = new Zone("a");
  private static final Duration TIMEOUT = Duration.ofSeconds(1);
  private static final ObjectKey KEY = new ObjectKey("blocked_parts/bad");

  private final VirtualTime time = new VirtualTime();
  private final FakePlatform store = new FakePlatform(time);
  private final VirtualScheduler operatorScheduler = time.newScheduler();
  private final Platform operator = store.clientFor("operator", ZONE, operatorScheduler);

  @Test
  void aPartThatANodeBlamesIsBlockedByAllWithinASecond() {
    BlockedParts first = startNode("n1");
    BlockedParts second = startNode("n2");

    first.block("bad", BlockedParts.Source.CRASHES);
    time.advance(Duration.ofSeconds(1));

    assertThat(second.contains("bad")).isTrue();
  }

  @Test
  void aPartLearntFromADispatcherIsStoredIfThatOneWasLost() {
    BlockedParts first = startNode("n1");

    first.block("bad", BlockedParts.Source.DISPATCHER);
    time.advance(Duration.ofSeconds(1));
    assertThat(isStored()).isFalse();

    time.advance(Duration.ofSeconds(2));
    assertThat(isStored()).isTrue();
  }

  @Test
  void aNodeThatStartsLaterBlocksThePart() {
    startNode("n1").block("bad", BlockedParts.Source.CRASHES);
    time.advance(Duration.ofSeconds(1));

    assertThat(startNode("n2").contains("bad")).isTrue();
  }

  @Test
  void operatorsUnblockAPartByDeletingItsObject() {
    BlockedParts first = startNode("n1");
    first.block("bad", BlockedParts.Source.CRASHES);
    time.advance(Duration.ofSeconds(1));

    long version = ((ReadResult.Found) read()).object().version();
    operator.delete(KEY, Precondition.versionIs(version), TIMEOUT);
    time.advance(Duration.ofSeconds(1));

    assertThat(first.contains("bad")).isFalse();
  }

  @Test
  void aBlockEndsAfterTenMinutesAndItsObjectIsDeleted() {
    BlockedParts first = startNode("n1");
    first.block("bad", BlockedParts.Source.CRASHES);

    time.advance(Duration.ofMinutes(9));
    assertThat(first.contains("bad")).isTrue();

    time.advance(Duration.ofMinutes(2));
    assertThat(first.contains("bad")).isFalse();
    assertThat(isStored()).isFalse();
  }

  @Test
  void aPartThatARestoredStoreLacksStaysBlockedAndIsStoredAgain() {
    BlockedParts first = startNode("n1");
    FakePlatform.Copy copy = store.copy();
    first.block("bad", BlockedParts.Source.CRASHES);
    time.advance(Duration.ofSeconds(3));
    assertThat(isStored()).isTrue();

    store.restore(copy);
    time.advance(Duration.ofSeconds(3));
    assertThat(first.contains("bad")).isTrue();
    time.advance(Duration.ofSeconds(2));
    assertThat(isStored()).isTrue();
  }

  private boolean isStored() {
    return read() instanceof ReadResult.Found;
  }

  private ReadResult read() {
    CompletableFuture<ReadResult> result = operator.get(KEY, TIMEOUT).toCompletableFuture();
    time.advance(Duration.ofMillis(50));
    return result.join();
  }

  private BlockedParts startNode(String name) {
    VirtualScheduler scheduler = time.newScheduler();
    Timing timing = time.timingOf(scheduler);
    Platform client = store.clientFor(name, ZONE, scheduler);
    Member self =
        new Member(
            new Incarnation(new DaemonId(name), 1),
            ZONE,
            new PeerAddress("10.0.0.1", 80),
            MemberState.ALIVE);
    BlockedParts blockedParts = new BlockedParts(timing, (event, fields) -> {});
    SharedFollower follower =
        new SharedFollower(
            client,
            timing,
            new SplittableRandom(1),
            self,
            (peer, request, limits, callback) -> {},
            FollowObserver.NONE);
    follower.follow(
        BlockedPartDirectory.KIND,
        BlockedPartDirectory.FOLLOW_SETTINGS,
        new BlockedPartDirectory(client, timing, blockedParts));
    time.advance(Duration.ofSeconds(1));
    return blockedParts;
  }
}
