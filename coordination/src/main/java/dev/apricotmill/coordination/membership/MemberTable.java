package dev.apricotmill.coordination.membership;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ImmutableSortedMap;
import dev.apricotmill.coordination.identity.DaemonId;
import dev.apricotmill.coordination.identity.Incarnation;
import dev.apricotmill.coordination.identity.Zone;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The newest known state of each daemon, and which daemons this one suspects.
 *
 * <p>The states alive, leaving and dead belong to one incarnation and are gossiped. A suspicion is
 * local to the daemon that probes: any answer of the suspect ends it, and if none comes in time the
 * incarnation is declared dead. A daemon that answers its probers is therefore never declared dead
 * because of a gossiped suspicion.
 */
final class MemberTable {

  private final TreeMap<DaemonId, Member> members = new TreeMap<>();
  private final Map<DaemonId, Long> suspectSince = new HashMap<>();
  private final Map<DaemonId, Long> deadSince = new HashMap<>();
  private ImmutableSet<String> leavingNames = ImmutableSet.of();
  private Member self;

  MemberTable(Member self) {
    this.self = self;
  }

  /** The effect of merging an update. */
  enum Merge {
    /** The update was newer than the known state. */
    NEWER,
    /** The update was already known. */
    KNOWN,
    /** A newer state is known. */
    OUTDATED,
    /** The update supersedes this daemon's own incarnation. */
    REPLACES_SELF
  }

  Member self() {
    return self;
  }

  void setSelf(Member newSelf) {
    self = newSelf;
  }

  /** Takes the incarnation after {@code number} and forgets all suspicions and dead members. */
  void rejoinAbove(long number) {
    MemberState state =
        self.state() == MemberState.LEAVING ? MemberState.LEAVING : MemberState.ALIVE;
    Incarnation next = new Incarnation(self.incarnation().daemon(), number + 1);
    self = new Member(next, self.zone(), self.address(), state, self.capacity());
    suspectSince.clear();
    deadSince.keySet().forEach(members::remove);
    deadSince.clear();
  }

  /**
   * Returns whether peers of the own zone are known and all of them are dead. This daemon may then
   * be partitioned itself.
   */
  boolean isIsolated() {
    ImmutableList<Member> peers =
        members.values().stream()
            .filter(member -> member.zone().equals(self.zone()))
            .collect(ImmutableList.toImmutableList());
    return !peers.isEmpty() && peers.stream().noneMatch(member -> member.state().reachable());
  }

  Merge merge(Member update, long nowNanos) {
    DaemonId daemon = update.incarnation().daemon();
    if (daemon.equals(self.incarnation().daemon())) {
      return update.supersedes(self) ? Merge.REPLACES_SELF : Merge.KNOWN;
    }
    Member known = members.get(daemon);
    if (known == null || update.supersedes(known)) {
      MemberState state = withoutSuspicion(update.state());
      put(update.withState(state), nowNanos);
      return Merge.NEWER;
    }
    return known.supersedes(update) ? Merge.OUTDATED : Merge.KNOWN;
  }

  /** Ends a suspicion of this incarnation, from which a message has arrived. */
  void clearSuspicion(Incarnation incarnation) {
    Member known = members.get(incarnation.daemon());
    if (known != null && known.incarnation().equals(incarnation)) {
      suspectSince.remove(incarnation.daemon());
    }
  }

  /** Returns whether the incarnation is dead or a higher one of the same daemon is known. */
  boolean isDeadOrReplaced(Incarnation incarnation) {
    Member known = members.get(incarnation.daemon());
    return known != null
        && (known.incarnation().replaces(incarnation)
            || (known.incarnation().equals(incarnation) && known.state() == MemberState.DEAD));
  }

  void suspect(Incarnation incarnation, long nowNanos) {
    Member known = members.get(incarnation.daemon());
    if (known != null
        && known.incarnation().equals(incarnation)
        && known.state() != MemberState.DEAD) {
      suspectSince.putIfAbsent(incarnation.daemon(), nowNanos);
    }
  }

  /** Declares dead the suspects of the own zone whose suspicion has timed out. */
  ImmutableList<Member> expireSuspects(long nowNanos, long timeoutNanos) {
    ImmutableList<Member> expired =
        suspectSince.entrySet().stream()
            .filter(entry -> nowNanos - entry.getValue() >= timeoutNanos)
            .map(entry -> members.get(entry.getKey()))
            .filter(member -> member.zone().equals(self.zone()))
            .map(member -> member.withState(MemberState.DEAD))
            .sorted((a, b) -> a.incarnation().daemon().compareTo(b.incarnation().daemon()))
            .collect(ImmutableList.toImmutableList());
    expired.forEach(member -> put(member, nowNanos));
    return expired;
  }

  /**
   * Declares dead the members that the platform no longer lists and that have been suspected for at
   * least {@code retentionNanos}. Suspects of other zones are declared dead in no other way.
   */
  ImmutableList<Member> expireUnlisted(
      ImmutableSet<String> listed, long nowNanos, long retentionNanos) {
    ImmutableList<Member> expired =
        members.values().stream()
            .filter(member -> !listed.contains(member.incarnation().daemon().name()))
            .filter(member -> isSuspectFor(member, nowNanos, retentionNanos))
            .map(member -> member.withState(MemberState.DEAD))
            .collect(ImmutableList.toImmutableList());
    expired.forEach(member -> put(member, nowNanos));
    return expired;
  }

  /** Removes members that were declared dead at least {@code retentionNanos} ago. */
  boolean forgetDead(long nowNanos, long retentionNanos) {
    ImmutableList<DaemonId> expired =
        deadSince.entrySet().stream()
            .filter(entry -> nowNanos - entry.getValue() >= retentionNanos)
            .map(Map.Entry::getKey)
            .collect(ImmutableList.toImmutableList());
    expired.forEach(members::remove);
    expired.forEach(deadSince::remove);
    return !expired.isEmpty();
  }

  void setLeavingNames(ImmutableSet<String> names) {
    leavingNames = names;
  }

  Optional<Member> find(DaemonId daemon) {
    return Optional.ofNullable(members.get(daemon));
  }

  ImmutableList<Member> members() {
    return ImmutableList.copyOf(members.values());
  }

  ImmutableList<Member> suspects() {
    return members.values().stream()
        .filter(member -> suspectSince.containsKey(member.incarnation().daemon()))
        .collect(ImmutableList.toImmutableList());
  }

  MembershipView view() {
    ImmutableSortedMap.Builder<DaemonId, Member> builder = ImmutableSortedMap.naturalOrder();
    builder.put(self.incarnation().daemon(), applyLeavingList(self));
    members.forEach(
        (daemon, member) -> builder.put(daemon, applyLeavingList(applySuspicion(member))));
    return new MembershipView(builder.build());
  }

  private Member applySuspicion(Member member) {
    boolean suspect = suspectSince.containsKey(member.incarnation().daemon());
    return suspect && member.state() == MemberState.ALIVE
        ? member.withState(MemberState.SUSPECT)
        : member;
  }

  private Member applyLeavingList(Member member) {
    boolean leaving =
        member.state().ownsReplicas()
            && leavingNames.contains(member.incarnation().daemon().name())
            && hasRemainingOwner(member.zone());
    return leaving ? member.withState(MemberState.LEAVING) : member;
  }

  /** A machine list that would leave a zone without an owner is ignored for that zone. */
  private boolean hasRemainingOwner(Zone zone) {
    return remainsOwner(self, zone)
        || members.values().stream().anyMatch(member -> remainsOwner(member, zone));
  }

  private boolean remainsOwner(Member member, Zone zone) {
    return member.zone().equals(zone)
        && member.state().ownsReplicas()
        && !leavingNames.contains(member.incarnation().daemon().name());
  }

  private boolean isSuspectFor(Member member, long nowNanos, long durationNanos) {
    Long since = suspectSince.get(member.incarnation().daemon());
    return since != null && nowNanos - since >= durationNanos;
  }

  private void put(Member member, long nowNanos) {
    DaemonId daemon = member.incarnation().daemon();
    members.put(daemon, member);
    suspectSince.remove(daemon);
    if (member.state() == MemberState.DEAD) {
      deadSince.put(daemon, nowNanos);
    } else {
      deadSince.remove(daemon);
    }
  }

  private static MemberState withoutSuspicion(MemberState state) {
    return state == MemberState.SUSPECT ? MemberState.ALIVE : state;
  }
}
