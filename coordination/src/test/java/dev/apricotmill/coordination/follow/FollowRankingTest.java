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
  void eachRankBelongsToOneProcessOfTheZone() {
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
  void noProcessIsPolledByMoreThanTheMaximum() {
    Multiset<Member> polled = HashMultiset.create();
    for (Member member : MEMBERS) {
      FollowRanking ranking = FollowRanking.of(MEMBERS, member);
      if (ranking.rank(peer -> true) > 0) {
        Member first = ranking.candidates(peer -> true).get(0);
        assertThat(first.zone()).isEqualTo(member.zone());
        assertThat(first).isNotEqualTo(member);
        polled.add(first);
      }
    }

    polled
        .elementSet()
        .forEach(m -> assertThat(polled.count(m)).isAtMost(FollowRanking.MAX_POLLERS_PER_PEER));
  }

  @Test
  void theSecondProcessTakesRankZeroWhenTheFirstIsUnreachable() {
    Member first = memberWithRank(0);
    Member second = memberWithRank(1);

    FollowRanking ranking = FollowRanking.of(MEMBERS, second);

    assertThat(ranking.rank(peer -> !peer.equals(first))).isEqualTo(0);
  }

  @Test
  void onlyTopRankedProcessesPollOtherZones() {
    assertThat(zonesPolledBy(memberWithRank(0))).isGreaterThan(1);
    assertThat(zonesPolledBy(memberWithRank(10))).isEqualTo(1);
  }

  @Test
  void theReaderOfAZonePollsAnotherZoneFirst() {
    Member reader = memberWithRank(0);

    Member first = FollowRanking.of(MEMBERS, reader).candidates(peer -> true).get(0);

    assertThat(first.zone()).isNotEqualTo(reader.zone());
  }

  @Test
  void readThresholdsIncreaseWithTheRankAndStayBelowTheBound() {
    Duration bound = Duration.ofSeconds(2);
    for (int rank = 1; rank < 10; rank++) {
      assertThat(FollowRanking.readThreshold(rank + 1, bound))
          .isGreaterThan(FollowRanking.readThreshold(rank, bound));
    }
    assertThat(FollowRanking.maxReadThreshold(bound)).isLessThan(bound);
    assertThat(FollowRanking.readThreshold(1000, bound))
        .isEqualTo(FollowRanking.maxReadThreshold(bound));
  }

  private static Member memberWithRank(int rank) {
    return MEMBERS.stream()
        .filter(member -> member.zone().name().equals("z0"))
        .filter(member -> FollowRanking.of(MEMBERS, member).rank(peer -> true) == rank)
        .findFirst()
        .orElseThrow();
  }

  private static long zonesPolledBy(Member member) {
    return FollowRanking.of(MEMBERS, member).candidates(peer -> true).stream()
        .map(Member::zone)
        .distinct()
        .count();
  }
}
