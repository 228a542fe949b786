package dev.apricotmill.coordination.follow;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.coordination.membership.Member;
import dev.apricotmill.coordination.membership.RendezvousHash;
import java.time.Duration;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Decides which processes read the store and which peers the others poll.
 *
 * <p>If every process watched the store, each change would make all of them read it. Instead, the
 * processes of a zone are ranked, and all compute the same ranking. Rank 0 reads the store. Every
 * other process polls one of a lower rank, so that without failures no process is polled by more
 * than {@link #MAX_POLLERS_PER_PEER} others. A process whose content becomes too stale reads the
 * store itself. The threshold grows with the rank, so that the loss of rank 0 causes one
 * replacement reader and not a thundering herd.
 */
final class FollowRanking {

  /** Limits how many copies of a large snapshot one process sends over a slow link. */
  static final int MAX_POLLERS_PER_PEER = 4;

  /**
   * The number of top-ranked processes of each zone, which any process of that zone and the
   * top-ranked processes of other zones may poll.
   */
  private static final int TOP_RANKED_COUNT = 2;

  /**
   * The fraction of the maximum staleness at which rank 1 reads the store. The last validation by a
   * reader can be as old as two waits of its watch.
   */
  private static final double FIRST_READ_FRACTION = 0.7;

  /** The fraction of the maximum staleness between the read thresholds of adjacent ranks. */
  private static final double READ_FRACTION_STEP = 0.02;

  private static final int MAX_STAGGERED_RANK = 10;

  private final ImmutableList<Member> ownZone;
  private final ImmutableList<Member> otherZones;
  private final Member self;

  private FollowRanking(
      ImmutableList<Member> ownZone, ImmutableList<Member> otherZones, Member self) {
    this.ownZone = ownZone;
    this.otherZones = otherZones;
    this.self = self;
  }

  /** Ranks the members; {@code self} is included even if it is not listed. */
  static FollowRanking of(Collection<Member> members, Member self) {
    ImmutableList<Member> others =
        members.stream()
            .filter(member -> !member.incarnation().daemon().equals(self.incarnation().daemon()))
            .collect(ImmutableList.toImmutableList());
    ImmutableList<Member> zoneMembers =
        ImmutableList.<Member>builder()
            .addAll(others.stream().filter(member -> member.zone().equals(self.zone())).iterator())
            .add(self)
            .build();
    ImmutableSet<Zone> remoteZones =
        others.stream()
            .map(Member::zone)
            .filter(zone -> !zone.equals(self.zone()))
            .collect(ImmutableSet.toImmutableSet());
    ImmutableList<Member> remoteTopRanked =
        remoteZones.stream()
            .flatMap(
                zone ->
                    ranked(others.stream().filter(m -> m.zone().equals(zone)).toList(), zone)
                        .stream()
                        .limit(TOP_RANKED_COUNT))
            .collect(ImmutableList.toImmutableList());
    return new FollowRanking(ranked(zoneMembers, self.zone()), remoteTopRanked, self);
  }

  private static ImmutableList<Member> ranked(Collection<Member> members, Zone zone) {
    return RendezvousHash.ranked(members, zone.name()).collect(ImmutableList.toImmutableList());
  }

  /** Returns the rank of this process among those of its zone that match {@code reachable}. */
  int rank(Predicate<Member> reachable) {
    return (int)
        ownZone.stream().takeWhile(member -> !member.equals(self)).filter(reachable).count();
  }

  /**
   * Returns the peers to poll, best first: the peer assigned by rank, the top-ranked processes of
   * the zone, and, if this process is top-ranked itself, the top-ranked processes of other zones.
   * Rank 0 is assigned a process of another zone, since those of its own zone poll rank 0.
   */
  ImmutableList<Member> candidates(Predicate<Member> reachable) {
    ImmutableList<Member> lowerRanks =
        ownZone.stream()
            .takeWhile(member -> !member.equals(self))
            .filter(reachable)
            .collect(ImmutableList.toImmutableList());
    Set<Member> candidates = new LinkedHashSet<>();
    if (lowerRanks.isEmpty()) {
      otherZones.stream().filter(reachable).findFirst().ifPresent(candidates::add);
    } else {
      candidates.add(lowerRanks.get((lowerRanks.size() - 1) / MAX_POLLERS_PER_PEER));
    }
    ownZone.stream()
        .filter(member -> !member.equals(self))
        .limit(TOP_RANKED_COUNT)
        .filter(reachable)
        .forEach(candidates::add);
    if (lowerRanks.size() < TOP_RANKED_COUNT) {
      otherZones.stream().filter(reachable).forEach(candidates::add);
    }
    return ImmutableList.copyOf(candidates);
  }

  /** Returns the staleness at which a process of this rank reads the store itself. */
  static Duration readThreshold(int rank, Duration maxStaleness) {
    if (rank == 0) {
      return Duration.ZERO;
    }
    double fraction =
        FIRST_READ_FRACTION + READ_FRACTION_STEP * (Math.min(rank, MAX_STAGGERED_RANK) - 1);
    return Duration.ofNanos((long) (maxStaleness.toNanos() * fraction));
  }

  /** Returns the staleness at which even the process of the highest rank reads the store. */
  static Duration maxReadThreshold(Duration maxStaleness) {
    return readThreshold(MAX_STAGGERED_RANK, maxStaleness);
  }
}
