package dev.apricotmill.core.cleanup;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ImmutableSortedMap;
import dev.apricotmill.coordination.identity.DaemonId;
import dev.apricotmill.coordination.identity.Incarnation;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.coordination.membership.Member;
import dev.apricotmill.coordination.membership.MemberState;
import dev.apricotmill.coordination.membership.MembershipView;
import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.core.engine.ExportId;
import dev.apricotmill.core.engine.HeldMemory;
import dev.apricotmill.core.engine.SequenceId;
import dev.apricotmill.core.request.RequestId;
import java.time.Duration;
import org.junit.jupiter.api.Test;

class CleanUpPlannerTest {

  private static final DaemonId SELF = new DaemonId("entry-1");
  private static final DaemonId PEER = new DaemonId("entry-2");
  private static final Duration TIME_REMAINING = Duration.ofMinutes(1);

  private final CleanUpPlanner planner = new CleanUpPlanner();

  @Test
  void aRunningSequenceOfThisDaemonIsKept() {
    SequenceId running = sequence(SELF, 1);
    assertThat(freed(MemberState.ALIVE, held(running, TIME_REMAINING), ImmutableSet.of(running), 0))
        .isEmpty();
  }

  @Test
  void aSequenceThatThisDaemonNoLongerKnowsIsFreed() {
    SequenceId forgotten = sequence(SELF, 1);
    assertThat(freed(MemberState.ALIVE, held(forgotten, TIME_REMAINING), ImmutableSet.of(), 0))
        .containsExactly(forgotten);
  }

  @Test
  void aSequenceOfALivePeerIsKept() {
    SequenceId other = sequence(PEER, 5);
    assertThat(freed(MemberState.ALIVE, held(other, TIME_REMAINING), ImmutableSet.of(), 0))
        .isEmpty();
  }

  @Test
  void aSequenceOfADeadPeerIsFreed() {
    SequenceId other = sequence(PEER, 5);
    assertThat(freed(MemberState.DEAD, held(other, TIME_REMAINING), ImmutableSet.of(), 0))
        .containsExactly(other);
  }

  @Test
  void aSequenceOfAnEarlierIncarnationOfAPeerIsFreed() {
    SequenceId other = sequence(PEER, 4);
    assertThat(freed(MemberState.ALIVE, held(other, TIME_REMAINING), ImmutableSet.of(), 0))
        .containsExactly(other);
  }

  @Test
  void aSequenceOfALivePeerIsFreedAfterItsDeadline() {
    SequenceId expired = sequence(PEER, 5);
    assertThat(freed(MemberState.ALIVE, held(expired, Duration.ZERO), ImmutableSet.of(), 0))
        .containsExactly(expired);
  }

  @Test
  void aSequenceOfAnUnknownDaemonIsFreedOnlyAfterTheGracePeriod() {
    SequenceId unknown = sequence(new DaemonId("entry-9"), 1);
    HeldMemory held = held(unknown, TIME_REMAINING);
    long grace = CleanUpPlanner.UNKNOWN_OWNER_GRACE_PERIOD.toNanos();
    assertThat(freed(MemberState.ALIVE, held, ImmutableSet.of(), 0)).isEmpty();
    assertThat(freed(MemberState.ALIVE, held, ImmutableSet.of(), grace - 1)).isEmpty();
    assertThat(freed(MemberState.ALIVE, held, ImmutableSet.of(), grace)).containsExactly(unknown);
  }

  @Test
  void anExportThatWasNotImportedIsReleasedAfterItsLifetime() {
    HeldMemory.Export fresh = export("fresh", CleanUpPlanner.EXPORT_LIFETIME.minusNanos(1));
    HeldMemory.Export old = export("old", CleanUpPlanner.EXPORT_LIFETIME);
    HeldMemory held = new HeldMemory(ImmutableList.of(), ImmutableList.of(fresh, old));
    assertThat(planner.plan(held, view(MemberState.ALIVE), ImmutableSet.of(), 0).exports())
        .containsExactly(old.id());
  }

  private ImmutableList<SequenceId> freed(
      MemberState peerState, HeldMemory held, ImmutableSet<SequenceId> running, long nowNanos) {
    return planner.plan(held, view(peerState), running, nowNanos).sequences();
  }

  private static HeldMemory held(SequenceId id, Duration remaining) {
    return new HeldMemory(
        ImmutableList.of(new HeldMemory.Sequence(id, 100, remaining)), ImmutableList.of());
  }

  private static HeldMemory.Export export(String id, Duration age) {
    return new HeldMemory.Export(new ExportId(id), sequence(SELF, 1), 100, age);
  }

  private static SequenceId sequence(DaemonId owner, long incarnation) {
    return new SequenceId(new Incarnation(owner, incarnation), new RequestId("r"), 1);
  }

  private static CleanUpView view(MemberState peerState) {
    return new CleanUpView(
        new Incarnation(SELF, 1),
        new MembershipView(
            ImmutableSortedMap.of(
                SELF, member(SELF, 1, MemberState.ALIVE), PEER, member(PEER, 5, peerState))));
  }

  private static Member member(DaemonId daemon, long incarnation, MemberState state) {
    return new Member(
        new Incarnation(daemon, incarnation),
        new Zone("zone-1"),
        new PeerAddress("127.0.0.1", 1),
        state);
  }
}
