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
 * Decides who reads the store and whom the others ask.
 *
 * <p>Answers the load pattern of a fleet in which each change would wake each process and each
 * process would call the store: the processes of a zone stand in an order that all compute alike.
 * The first reads the store; each other one asks one that stands before it, so that none has more
 * than {@link #MAX_POLLERS_PER_PEER} askers in a calm zone. A process whose knowledge grows old
 * reads the store itself, the earlier the further in front it stands, so that the loss of the first
 * brings one reader and no herd.
 */
final class FollowRanking {

  /** How many processes ask the same one; keeps large contents off narrow links. */
  static final int MAX_POLLERS_PER_PEER = 4;

  /** Processes at the front of a zone that those of the same and of other zones may ask. */
  private static final int TOP_RANKED_COUNT = 2;

  /**
   * The part of the freshness that may pass before the second in order reads the store. The last
   * proof of a reader is up to two waits of its watch old.
   */
  private static final double FIRST_READ_FRACTION = 0.7;

  /** The part of the freshness between the turns of processes that follow each other. */
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

  /** Orders the members; {@code self} takes part whether it is listed or not. */
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

  /** Returns this process's place among those of its zone that {@code reachable} lets through. */
  int rank(Predicate<Member> reachable) {
    return (int)
        ownZone.stream().takeWhile(member -> !member.equals(self)).filter(reachable).count();
  }

  /**
   * Returns whom to ask, best first: the one that this process follows, the front of its zone, and
   * for those at the front themselves the fronts of other zones.
   */
  ImmutableList<Member> candidates(Predicate<Member> reachable) {
    ImmutableList<Member> higherRanked =
        ownZone.stream()
            .takeWhile(member -> !member.equals(self))
            .filter(reachable)
            .collect(ImmutableList.toImmutableList());
    Set<Member> candidates = new LinkedHashSet<>();
    if (!higherRanked.isEmpty()) {
      candidates.add(higherRanked.get((higherRanked.size() - 1) / MAX_POLLERS_PER_PEER));
    }
    ownZone.stream()
        .filter(member -> !member.equals(self))
        .filter(reachable)
        .limit(TOP_RANKED_COUNT)
        .forEach(candidates::add);
    if (higherRanked.size() < TOP_RANKED_COUNT) {
      otherZones.stream().filter(reachable).forEach(candidates::add);
    }
    return ImmutableList.copyOf(candidates);
  }

  /** Returns the age of a proof at which a process of that rank reads the store itself. */
  static Duration readThreshold(int rank, Duration maxStaleness) {
    if (rank == 0) {
      return Duration.ZERO;
    }
    double fraction =
        FIRST_READ_FRACTION + READ_FRACTION_STEP * (Math.min(rank, MAX_STAGGERED_RANK) - 1);
    return Duration.ofNanos((long) (maxStaleness.toNanos() * fraction));
  }

  /** Returns the age of a proof at which even the last in order has read the store. */
  static Duration maxReadThreshold(Duration maxStaleness) {
    return readThreshold(MAX_STAGGERED_RANK, maxStaleness);
  }
}
