package dev.apricotmill.core.group;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.core.outcome.RefusalReason;
import dev.apricotmill.core.request.ReplicaId;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class GroupReservationTest {

  private static final ReplicaId A = new ReplicaId("a");
  private static final ReplicaId B = new ReplicaId("b");
  private static final long DEADLINE = 100;

  private final GroupReservation reservation =
      new GroupReservation(ImmutableList.of(B, A), DEADLINE);

  @Test
  void membersAreReservedInTheOrderOfTheirNamesAndCommittedTogether() {
    assertThat(reservation.start()).isEqualTo(new GroupAction.Reserve(A));
    assertThat(reservation.onHeld(A, 1)).isEqualTo(new GroupAction.Reserve(B));
    assertThat(reservation.onHeld(B, 2)).isEqualTo(new GroupAction.Commit(ImmutableList.of(A, B)));
    assertThat(reservation.onTimer(DEADLINE)).isEqualTo(new GroupAction.Wait());
  }

  @Test
  void aRefusalReleasesTheHeldAndRequestedMembers() {
    reservation.start();
    reservation.onHeld(A, 1);
    assertThat(reservation.onRefused(B, RefusalReason.DEADLINE_UNREACHABLE, Duration.ofSeconds(3)))
        .isEqualTo(
            new GroupAction.Abort(
                ImmutableList.of(A, B), RefusalReason.DEADLINE_UNREACHABLE, Duration.ofSeconds(3)));
    assertThat(reservation.onHeld(B, 2)).isEqualTo(new GroupAction.Wait());
  }

  @Test
  void theDeadlineEndsTheReservation() {
    reservation.start();
    assertThat(reservation.onTimer(DEADLINE - 1)).isEqualTo(new GroupAction.Wait());
    assertThat(reservation.onTimer(DEADLINE)).isInstanceOf(GroupAction.Abort.class);
    assertThat(reservation.isCommitted()).isFalse();
  }

  @Test
  void aRepeatedAnswerChangesNothing() {
    reservation.start();
    reservation.onHeld(A, 1);
    assertThat(reservation.onHeld(A, 1)).isEqualTo(new GroupAction.Wait());
  }

  /** Each replica holds one part at a time, and the groups take their steps in any order. */
  @Property(tries = 1_000, seed = "20261204")
  void groupsThatNeedTheSameReplicasAllCommit(
      @ForAll @Size(200) List<@IntRange(min = 0, max = 3) Integer> steps) {
    List<ReplicaId> replicas = ImmutableList.of(A, B, new ReplicaId("c"));
    Map<ReplicaId, Integer> holders = new HashMap<>();
    List<GroupReservation> groups = new ArrayList<>();
    Map<Integer, ReplicaId> wanted = new HashMap<>();
    for (int group = 0; group < 4; group++) {
      groups.add(new GroupReservation(replicas, Long.MAX_VALUE));
      wanted.put(group, ((GroupAction.Reserve) groups.get(group).start()).replica());
    }
    Set<Integer> committed = new HashSet<>();
    List<Integer> order = new ArrayList<>(steps);
    for (int last = 0; last < 64; last++) {
      order.add(last % 4);
    }
    for (int group : order) {
      ReplicaId next = wanted.get(group);
      if (next == null || holders.containsKey(next)) {
        continue;
      }
      holders.put(next, group);
      GroupAction action = groups.get(group).onHeld(next, 0);
      if (action instanceof GroupAction.Reserve reserve) {
        wanted.put(group, reserve.replica());
      } else {
        committed.add(group);
        wanted.remove(group);
        holders.values().removeIf(holder -> holder == group);
      }
    }
    assertThat(committed).hasSize(4);
  }
}
