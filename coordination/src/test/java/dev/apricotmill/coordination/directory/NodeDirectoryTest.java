package dev.apricotmill.coordination.directory;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.coordination.follow.FollowSettings;
import dev.apricotmill.coordination.identity.DaemonId;
import dev.apricotmill.coordination.identity.Incarnation;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.coordination.membership.Member;
import dev.apricotmill.coordination.membership.MemberState;
import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.coordination.testing.FakePlatform;
import dev.apricotmill.coordination.testing.PlatformFault;
import dev.apricotmill.coordination.testing.PlatformOperation;
import dev.apricotmill.coordination.testing.VirtualScheduler;
import dev.apricotmill.coordination.testing.VirtualTime;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;

final class NodeDirectoryTest {

  private static final FollowSettings SETTINGS =
      new FollowSettings(
          Duration.ofSeconds(8),
          Duration.ofSeconds(1),
          Duration.ofMillis(200),
          Duration.ofSeconds(2));

  private final VirtualTime time = new VirtualTime();
  private final FakePlatform store = new FakePlatform(time);
  private final Map<String, ImmutableList<Member>> seen = new HashMap<>();

  @Test
  void nodesLearnOfEachOther() {
    start("n1", 1);
    start("n2", 1);

    time.advance(Duration.ofSeconds(1));

    assertThat(seen.get("n1")).containsExactly(member("n1", 1), member("n2", 1));
    assertThat(seen.get("n2")).containsExactly(member("n1", 1), member("n2", 1));
  }

  @Test
  void aNodeThatStartsAgainReplacesItsEntry() {
    start("n1", 1);
    time.advance(Duration.ofSeconds(1));

    start("n1", 2);
    time.advance(Duration.ofSeconds(1));

    assertThat(seen.get("n1")).containsExactly(member("n1", 2));
  }

  @Test
  void anEntryWhoseWriteWasLostIsWrittenAgain() {
    store.failNext(
        1, PlatformFault.UNREACHABLE, request -> request.operation() == PlatformOperation.PUT);
    start("n1", 1);

    time.advance(Duration.ofSeconds(4));

    assertThat(seen.get("n1")).containsExactly(member("n1", 1));
  }

  private void start(String name, long incarnation) {
    VirtualScheduler scheduler = time.newScheduler();
    new NodeDirectory(
            store.clientFor(name + incarnation, new Zone("a"), scheduler),
            time.timingOf(scheduler),
            member(name, incarnation),
            members -> seen.put(name, members))
        .start(SETTINGS);
  }

  private static Member member(String name, long incarnation) {
    return new Member(
        new Incarnation(new DaemonId(name), incarnation),
        new Zone("a"),
        new PeerAddress("10.0.0.1", 9000),
        MemberState.ALIVE);
  }
}
