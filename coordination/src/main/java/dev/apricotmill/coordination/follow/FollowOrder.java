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
 * than {@link #CHILDREN} askers in a calm zone. A process whose knowledge grows old reads the store
 * itself, the earlier the further in front it stands, so that the loss of the first brings one
 * reader and no herd.
 */
final class FollowOrder {

  /** How many processes ask the same one; keeps large contents off narrow links. */
  static final int CHILDREN = 4;

  /** Processes at the front of a zone that those of the same and of other zones may ask. */
  private static final int FRONT = 2;

  /**
   * The part of the freshness that may pass before the second in order reads the store. The last
   * proof of a reader is up to two waits of its watch old.
   */
  private static final double FIRST_TURN = 0.7;

  /** The part of the freshness between the turns of processes that follow each other. */
  private static final double NEXT_TURN = 0.02;

  private static final int LAST_TURN = 10;

  private final ImmutableList<Member> zone;
  private final ImmutableList<Member> elsewhere;
  private final Member self;

  private FollowOrder(ImmutableList<Member> zone, ImmutableList<Member> elsewhere, Member self) {
    this.zone = zone;
    this.elsewhere = elsewhere;
    this.self = self;
  }

  /** Orders the members; {@code self} takes part whether it is listed or not. */
  static FollowOrder of(Collection<Member> members, Member self) {
    ImmutableList<Member> others =
        members.stream()
            .filter(member -> !member.incarnation().daemon().equals(self.incarnation().daemon()))
            .collect(ImmutableList.toImmutableList());
    ImmutableList<Member> own =
        ImmutableList.<Member>builder()
            .addAll(others.stream().filter(member -> member.zone().equals(self.zone())).iterator())
            .add(self)
            .build();
    ImmutableSet<Zone> zones =
        others.stream()
            .map(Member::zone)
            .filter(zone -> !zone.equals(self.zone()))
            .collect(ImmutableSet.toImmutableSet());
    ImmutableList<Member> fronts =
        zones.stream()
            .flatMap(
                zone ->
                    ranked(others.stream().filter(m -> m.zone().equals(zone)).toList(), zone)
                        .stream()
                        .limit(FRONT))
            .collect(ImmutableList.toImmutableList());
    return new FollowOrder(ranked(own, self.zone()), fronts, self);
  }

  private static ImmutableList<Member> ranked(Collection<Member> members, Zone zone) {
    return RendezvousHash.ranked(members, zone.name()).collect(ImmutableList.toImmutableList());
  }

  /** Returns this process's place among those of its zone that {@code reachable} lets through. */
  int rank(Predicate<Member> reachable) {
    return (int) zone.stream().takeWhile(member -> !member.equals(self)).filter(reachable).count();
  }

  /**
   * Returns whom to ask, best first: the one that this process follows, the front of its zone, and
   * for those at the front themselves the fronts of other zones.
   */
  ImmutableList<Member> candidates(Predicate<Member> reachable) {
    ImmutableList<Member> before =
        zone.stream()
            .takeWhile(member -> !member.equals(self))
            .filter(reachable)
            .collect(ImmutableList.toImmutableList());
    Set<Member> candidates = new LinkedHashSet<>();
    if (!before.isEmpty()) {
      candidates.add(before.get((before.size() - 1) / CHILDREN));
    }
    zone.stream()
        .filter(member -> !member.equals(self))
        .filter(reachable)
        .limit(FRONT)
        .forEach(candidates::add);
    if (before.size() < FRONT) {
      elsewhere.stream().filter(reachable).forEach(candidates::add);
    }
    return ImmutableList.copyOf(candidates);
  }

  /** Returns the age of a proof at which a process of that rank reads the store itself. */
  static Duration turn(int rank, Duration freshness) {
    if (rank == 0) {
      return Duration.ZERO;
    }
    double part = FIRST_TURN + NEXT_TURN * (Math.min(rank, LAST_TURN) - 1);
    return Duration.ofNanos((long) (freshness.toNanos() * part));
  }

  /** Returns the age of a proof at which even the last in order has read the store. */
  static Duration lastTurn(Duration freshness) {
    return turn(LAST_TURN, freshness);
  }
}
