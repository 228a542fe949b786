package dev.apricotmill.coordination.membership;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.ImmutableSortedMap;
import dev.apricotmill.coordination.identity.DaemonId;
import dev.apricotmill.coordination.identity.Incarnation;
import dev.apricotmill.coordination.identity.Zone;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;

final class MembershipPropertyTest {

  private static final Duration STEP_TIME = Duration.ofMillis(1900);
  private static final Duration RECOVERY_TIME = Duration.ofSeconds(25);

  @Property(tries = 1000, seed = "7")
  void noRunningDaemonStaysDeadAfterTheFaultsEnd(@ForAll("steps") List<MembershipStep> steps) {
    MembershipCluster cluster = new MembershipCluster(1, 4);
    cluster.advance(Duration.ofSeconds(5));
    for (MembershipStep step : steps) {
      step.apply(cluster);
      cluster.advance(STEP_TIME);
    }
    MembershipStep.HEAL.apply(cluster);
    MembershipStep.RESUME_ALL.apply(cluster);
    cluster.advance(RECOVERY_TIME);
    assertWithMessage("every running daemon sees every other one as alive")
        .that(cluster.allAgree())
        .isTrue();
  }

  @Property(tries = 1000, seed = "8")
  void theHighestIncarnationWinsInAnyOrderOfUpdates(
      @ForAll("news") List<Member> updates, @ForAll @IntRange(min = 0, max = 99) int rotation) {
    MemberTable one = tableWith(updates);
    List<Member> other = new ArrayList<>(updates);
    Collections.rotate(other, rotation);
    assertThat(tableWith(other).members()).isEqualTo(one.members());
    long highest =
        updates.stream().mapToLong(member -> member.incarnation().number()).max().orElse(0);
    assertThat(one.members().get(0).incarnation().number()).isEqualTo(highest);
  }

  @Property(tries = 1000, seed = "9")
  void theLossOfAMemberMovesOnlyTheKeysThatItOwned(
      @ForAll @IntRange(min = 2, max = 20) int size, @ForAll @IntRange(max = 10_000) int replica) {
    ImmutableSortedMap.Builder<DaemonId, Member> members = ImmutableSortedMap.naturalOrder();
    for (int i = 0; i < size; i++) {
      members.put(new DaemonId("d" + i), member("d" + i, 1, MemberState.ALIVE));
    }
    MembershipView view = new MembershipView(members.buildOrThrow());
    List<Member> owners = view.owners();
    Member owner = RendezvousHash.owner(owners, "replica-" + replica).orElseThrow();
    for (Member lost : owners) {
      List<Member> rest = owners.stream().filter(member -> !member.equals(lost)).toList();
      Member next = RendezvousHash.owner(rest, "replica-" + replica).orElseThrow();
      assertThat(lost.equals(owner) || next.equals(owner)).isTrue();
    }
  }

  @Provide
  Arbitrary<List<MembershipStep>> steps() {
    return Arbitraries.of(MembershipStep.class).list().ofMinSize(3).ofMaxSize(8);
  }

  @Provide
  Arbitrary<List<Member>> news() {
    Arbitrary<MemberState> states =
        Arbitraries.of(MemberState.ALIVE, MemberState.LEAVING, MemberState.DEAD);
    Arbitrary<Long> numbers = Arbitraries.longs().between(1, 4);
    return Combinators.combine(numbers, states)
        .as((number, state) -> member("x", number, state))
        .list()
        .ofMinSize(1)
        .ofMaxSize(12);
  }

  private static MemberTable tableWith(List<Member> updates) {
    MemberTable table = new MemberTable(member("self", 1, MemberState.ALIVE));
    updates.forEach(member -> table.merge(member, 0));
    return table;
  }

  private static Member member(String name, long number, MemberState state) {
    return new Member(
        new Incarnation(new DaemonId(name), number),
        new Zone("z1"),
        new PeerAddress("127.0.0.1", 1),
        state);
  }
}
