package dev.apricotmill.coordination.membership;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.coordination.identity.Zone;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.TreeSet;
import java.util.stream.Collectors;

/**
 * Chooses which members a daemon probes in each interval. Their number does not grow with the zone.
 *
 * <p>Each interval probes one of the first successors on the zone's ring. Every few intervals it
 * also probes any member of the zone, for anti-entropy, and, on the few daemons chosen for this, a
 * member of each other zone.
 */
final class ProbeSchedule {

  private static final int ANTI_ENTROPY_EVERY_TICKS = 4;
  private static final int REMOTE_EVERY_TICKS = 2;

  private final MembershipSettings settings;
  private long tick;

  ProbeSchedule(MembershipSettings settings) {
    this.settings = settings;
  }

  /** Returns the members to probe in the next interval, including suspects among the successors. */
  ImmutableList<Member> next(MembershipView view, Member self, ImmutableList<Member> suspects) {
    tick++;
    List<Member> targets = new ArrayList<>();
    ImmutableList<Member> ring = ringSuccessors(view, self);
    addRoundRobin(targets, firstOf(ring, settings.successors()), tick);
    if (tick % ANTI_ENTROPY_EVERY_TICKS == 0) {
      addRoundRobin(targets, ring, tick / ANTI_ENTROPY_EVERY_TICKS);
    }
    if (tick % REMOTE_EVERY_TICKS == 0) {
      addRemote(targets, view, self);
    }
    ImmutableList<Member> successors = firstOf(ring, settings.successors());
    suspects.stream().filter(successors::contains).forEach(targets::add);
    return ImmutableList.copyOf(
        targets.stream()
            .collect(
                Collectors.toMap(
                    member -> member.incarnation().daemon(),
                    member -> member,
                    (first, second) -> first,
                    LinkedHashMap::new))
            .values());
  }

  /** Returns the peers that probe an unresponsive member indirectly. */
  ImmutableList<Member> indirectProbers(MembershipView view, Member self, Member target) {
    ImmutableList<Member> candidates =
        view.reachable().stream()
            .filter(member -> member.zone().equals(self.zone()))
            .filter(member -> member.state() != MemberState.SUSPECT)
            .filter(
                member ->
                    !MemberRing.sameDaemon(member, self) && !MemberRing.sameDaemon(member, target))
            .collect(ImmutableList.toImmutableList());
    return MemberRing.rotated(candidates, tick * settings.indirectProbers()).stream()
        .limit(settings.indirectProbers())
        .collect(ImmutableList.toImmutableList());
  }

  private void addRemote(List<Member> targets, MembershipView view, Member self) {
    ImmutableList<Member> remote =
        view.reachable().stream()
            .filter(member -> !member.zone().equals(self.zone()))
            .collect(ImmutableList.toImmutableList());
    TreeSet<Zone> zones =
        remote.stream().map(Member::zone).collect(Collectors.toCollection(TreeSet::new));
    for (Zone zone : zones) {
      if (probesZone(view, self, zone)) {
        ImmutableList<Member> members =
            remote.stream()
                .filter(member -> member.zone().equals(zone))
                .collect(ImmutableList.toImmutableList());
        addRoundRobin(targets, members, tick / REMOTE_EVERY_TICKS);
      }
    }
  }

  private boolean probesZone(MembershipView view, Member self, Zone zone) {
    return RendezvousHash.ranked(view.owners(self.zone()), "remote-probes/" + zone)
        .limit(settings.remoteProbers())
        .anyMatch(member -> MemberRing.sameDaemon(member, self));
  }

  private static ImmutableList<Member> ringSuccessors(MembershipView view, Member self) {
    return MemberRing.successors(
        view.reachable().stream().filter(member -> member.zone().equals(self.zone())), self);
  }

  private static ImmutableList<Member> firstOf(ImmutableList<Member> members, int count) {
    return members.subList(0, Math.min(count, members.size()));
  }

  private static void addRoundRobin(List<Member> targets, ImmutableList<Member> from, long turn) {
    if (!from.isEmpty()) {
      targets.add(from.get((int) (turn % from.size())));
    }
  }
}
