package dev.apricotmill.coordination.directory;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.coordination.follow.FollowObserver;
import dev.apricotmill.coordination.follow.FollowSettings;
import dev.apricotmill.coordination.follow.PollResult;
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
import dev.apricotmill.coordination.platform.WriteResult;
import dev.apricotmill.coordination.testing.FakePlatform;
import dev.apricotmill.coordination.testing.PlatformFault;
import dev.apricotmill.coordination.testing.PlatformOperation;
import dev.apricotmill.coordination.testing.VirtualScheduler;
import dev.apricotmill.coordination.testing.VirtualTime;
import dev.apricotmill.coordination.time.Timing;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

final class NodeDirectoryTest {

  private static final FollowSettings SETTINGS =
      new FollowSettings(
          Duration.ofSeconds(8),
          Duration.ofSeconds(1),
          Duration.ofMillis(200),
          Duration.ofSeconds(2),
          Duration.ofMillis(10),
          Duration.ofSeconds(24));

  /** Entries carry it: nodes that read another capacity would choose another dispatcher. */
  private static final int CAPACITY = 36;

  private final VirtualTime time = new VirtualTime();
  private final FakePlatform store = new FakePlatform(time);
  private final Map<String, ImmutableList<Member>> seenMembers = new HashMap<>();
  private final Set<String> unresponsive = new HashSet<>();
  private final List<String> removed = new ArrayList<>();
  private final List<Consumer<Boolean>> heldCallbacks = new ArrayList<>();
  private boolean holdCallbacks;

  @Test
  void everyNodeSeesTheEntriesOfAllNodes() {
    start("n1", 1);
    start("n2", 1);

    time.advance(Duration.ofSeconds(1));

    assertThat(seenMembers.get("n1")).containsExactly(member("n1", 1), member("n2", 1));
    assertThat(seenMembers.get("n2")).containsExactly(member("n1", 1), member("n2", 1));
  }

  @Test
  void aRestartedNodeReplacesItsEntry() {
    start("n1", 1);
    time.advance(Duration.ofSeconds(1));

    start("n1", 2);
    time.advance(Duration.ofSeconds(1));

    assertThat(seenMembers.get("n1")).containsExactly(member("n1", 2));
  }

  @Test
  void aNodeWritesItsEntryAgainThatARestoredStoreLacksOrHasOfAnEarlierIncarnation() {
    start("n1", 1);
    time.advance(Duration.ofSeconds(1));
    FakePlatform.Copy copy = store.copy();
    start("n1", 2);
    start("n2", 1);
    time.advance(Duration.ofSeconds(3));
    assertThat(seenMembers.get("n2")).containsExactly(member("n1", 2), member("n2", 1));

    store.restore(copy);
    time.advance(Duration.ofSeconds(4));

    assertThat(seenMembers.get("n2")).containsExactly(member("n1", 2), member("n2", 1));
  }

  @Test
  void anEntryWhoseWriteWasLostIsWrittenAgain() {
    store.failNext(
        1, PlatformFault.UNREACHABLE, request -> request.operation() == PlatformOperation.PUT);
    start("n1", 1);

    time.advance(Duration.ofSeconds(4));

    assertThat(seenMembers.get("n1")).containsExactly(member("n1", 1));
  }

  @Test
  void theEntryOfANodeThatStopsAnsweringIsRemovedByOnePeer() {
    start("n1", 1);
    start("n2", 1);
    start("n3", 1);
    time.advance(Duration.ofSeconds(1));
    unresponsive.add("n2");

    time.advance(Duration.ofSeconds(10));
    assertThat(removed).isEmpty();
    time.advance(Duration.ofSeconds(8));

    assertThat(removed).containsExactly("n2");
    // The node is still running and writes its entry again.
    unresponsive.clear();
    time.advance(Duration.ofSeconds(3));
    assertThat(seenMembers.get("n3"))
        .containsExactly(member("n1", 1), member("n2", 1), member("n3", 1));
  }

  @Test
  void aNodeThatStopsAnsweringForAShortTimeKeepsItsEntry() {
    start("n1", 1);
    start("n2", 1);
    time.advance(Duration.ofSeconds(1));

    for (int i = 0; i < 5; i++) {
      unresponsive.add("n2");
      time.advance(Duration.ofSeconds(8));
      unresponsive.clear();
      time.advance(Duration.ofSeconds(4));
    }

    assertThat(removed).isEmpty();
  }

  @Test
  void theEntryOfANodeThatIsNotRunningStaysRemoved() {
    start("n1", 1);
    byte[] entry =
        "{\"address\":\"10.0.0.1:9000\",\"zone\":\"a\",\"incarnation\":1,\"capacity\":36}"
            .getBytes(StandardCharsets.UTF_8);
    store
        .clientFor("operator", new Zone("a"), time.newScheduler())
        .put(
            new ObjectKey(NodeDirectory.KIND + "/n2"),
            entry,
            Precondition.versionIs(0),
            Duration.ofSeconds(1));
    time.advance(Duration.ofSeconds(1));
    assertThat(seenMembers.get("n1")).containsExactly(member("n1", 1), member("n2", 1));
    unresponsive.add("n2");

    time.advance(Duration.ofSeconds(20));

    assertThat(seenMembers.get("n1")).containsExactly(member("n1", 1));
  }

  @Test
  void aProbeOfAnEarlierIncarnationDoesNotRemoveTheEntryOfTheNext() {
    start("n1", 1);
    start("n2", 1);
    time.advance(Duration.ofSeconds(1));
    unresponsive.add("n2");
    time.advance(Duration.ofSeconds(14));
    holdCallbacks = true;
    time.advance(Duration.ofSeconds(2));
    Consumer<Boolean> lastProbe = heldCallbacks.get(heldCallbacks.size() - 1);

    start("n2", 2);
    time.advance(Duration.ofMillis(500));
    assertThat(seenMembers.get("n1")).contains(member("n2", 2));
    lastProbe.accept(false);
    time.advance(Duration.ofMillis(500));

    assertThat(removed).isEmpty();
  }

  private void probe(Member member, Consumer<Boolean> callback) {
    if (holdCallbacks && unresponsive.contains(nameOf(member))) {
      heldCallbacks.add(callback);
    } else {
      callback.accept(!unresponsive.contains(nameOf(member)));
    }
  }

  private void start(String name, long incarnation) {
    VirtualScheduler scheduler = time.newScheduler();
    Platform platform = store.clientFor(name + incarnation, new Zone("a"), scheduler);
    Timing timing = time.timingOf(scheduler);
    SharedFollower follower =
        new SharedFollower(
            platform,
            timing,
            new SplittableRandom(1),
            member(name, incarnation),
            (peer, request, timeout, callback) ->
                callback.accept(new PollResult(Optional.empty(), 0)),
            FollowObserver.NONE);
    new NodeDirectory(
            platform,
            timing,
            member(name, incarnation),
            (member, timeout, callback) -> probe(member, callback),
            new DirectoryListener() {
              @Override
              public void onNodes(ImmutableList<Member> members) {
                seenMembers.put(name, members);
              }

              @Override
              public void onRemoval(Member member, WriteResult result) {
                assertThat(result).isInstanceOf(WriteResult.Written.class);
                removed.add(nameOf(member));
              }
            })
        .start(follower, SETTINGS);
  }

  private static String nameOf(Member member) {
    return member.incarnation().daemon().name();
  }

  private static Member member(String name, long incarnation) {
    return new Member(
        new Incarnation(new DaemonId(name), incarnation),
        new Zone("a"),
        new PeerAddress("10.0.0.1", 9000),
        MemberState.ALIVE,
        CAPACITY);
  }
}
