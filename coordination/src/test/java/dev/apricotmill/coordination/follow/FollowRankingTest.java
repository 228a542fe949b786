package dev.apricotmill.coordination.follow;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.HashMultiset;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.Multiset;
import dev.apricotmill.coordination.membership.Member;
import java.time.Duration;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

final class FollowRankingTest {

  private static final ImmutableList<Member> MEMBERS =
      IntStream.range(0, 60)
          .mapToObj(i -> FollowerFleet.member("n" + i, "z" + i % 3, 1))
          .collect(ImmutableList.toImmutableList());

  @Test
  void oneProcessOfEachZoneComesFirst() {
    for (int zone = 0; zone < 3; zone++) {
      String name = "z" + zone;
      assertThat(
              MEMBERS.stream()
                  .filter(member -> member.zone().name().equals(name))
                  .map(member -> FollowRanking.of(MEMBERS, member).rank(peer -> true))
                  .sorted()
                  .toList())
          .isEqualTo(IntStream.range(0, 20).boxed().toList());
    }
  }

  @Test
  void noProcessIsFollowedByMoreThanItsShare() {
    Multiset<Member> followed = HashMultiset.create();
    for (Member member : MEMBERS) {
      FollowRanking order = FollowRanking.of(MEMBERS, member);
      if (order.rank(peer -> true) > 0) {
        Member first = order.candidates(peer -> true).get(0);
        assertThat(first.zone()).isEqualTo(member.zone());
        assertThat(first).isNotEqualTo(member);
        followed.add(first);
      }
    }

    followed
        .elementSet()
        .forEach(m -> assertThat(followed.count(m)).isAtMost(FollowRanking.MAX_POLLERS_PER_PEER));
  }

  @Test
  void theSecondTakesThePlaceOfAFirstThatIsSilent() {
    Member first = at(0);
    Member second = at(1);

    FollowRanking order = FollowRanking.of(MEMBERS, second);

    assertThat(order.rank(peer -> !peer.equals(first))).isEqualTo(0);
  }

  @Test
  void onlyTheFrontOfAZoneAsksOtherZones() {
    assertThat(zonesAskedBy(at(0))).isGreaterThan(1);
    assertThat(zonesAskedBy(at(10))).isEqualTo(1);
  }

  @Test
  void turnsComeOneAfterTheOtherAndWithinTheBound() {
    Duration bound = Duration.ofSeconds(2);
    for (int rank = 1; rank < 10; rank++) {
      assertThat(FollowRanking.readThreshold(rank + 1, bound))
          .isGreaterThan(FollowRanking.readThreshold(rank, bound));
    }
    assertThat(FollowRanking.maxReadThreshold(bound)).isLessThan(bound);
    assertThat(FollowRanking.readThreshold(1000, bound))
        .isEqualTo(FollowRanking.maxReadThreshold(bound));
  }

  private static Member at(int rank) {
    return MEMBERS.stream()
        .filter(member -> member.zone().name().equals("z0"))
        .filter(member -> FollowRanking.of(MEMBERS, member).rank(peer -> true) == rank)
        .findFirst()
        .orElseThrow();
  }

  private static long zonesAskedBy(Member member) {
    return FollowRanking.of(MEMBERS, member).candidates(peer -> true).stream()
        .map(Member::zone)
        .distinct()
        .count();
  }
}
