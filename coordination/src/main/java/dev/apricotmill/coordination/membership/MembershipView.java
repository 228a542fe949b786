package dev.apricotmill.coordination.membership;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedMap;
import dev.apricotmill.coordination.identity.DaemonId;
import dev.apricotmill.coordination.identity.Incarnation;
import dev.apricotmill.coordination.identity.Zone;
import java.util.Optional;

/**
 * An immutable snapshot of what one daemon knows about all daemons.
 *
 * @param members the newest known state of each daemon, including the own one
 */
public record MembershipView(ImmutableSortedMap<DaemonId, Member> members) {

  /** Returns the known state of a daemon. */
  public Optional<Member> find(DaemonId daemon) {
    return Optional.ofNullable(members.get(daemon));
  }

  /** Returns the members of a zone that own replicas, ordered by name. */
  public ImmutableList<Member> owners(Zone zone) {
    return members.values().stream()
        .filter(member -> member.zone().equals(zone) && member.state().ownsReplicas())
        .collect(ImmutableList.toImmutableList());
  }

  /** Returns the members of all zones that own replicas, ordered by name. */
  public ImmutableList<Member> owners() {
    return members.values().stream()
        .filter(member -> member.state().ownsReplicas())
        .collect(ImmutableList.toImmutableList());
  }

  /** Returns the members that are expected to answer messages, ordered by name. */
  public ImmutableList<Member> reachable() {
    return members.values().stream()
        .filter(member -> member.state().reachable())
        .collect(ImmutableList.toImmutableList());
  }

  /** Returns the owner of {@code key} within a zone, empty if the zone has no owners. */
  public Optional<Member> owner(Zone zone, String key) {
    return RendezvousHash.owner(owners(zone), key);
  }

  /**
   * Returns whether the daemon is a member and this incarnation is not known to be dead or
   * replaced.
   */
  public boolean mayBeRunning(Incarnation incarnation) {
    return find(incarnation.daemon())
        .map(
            member ->
                member.incarnation().number() < incarnation.number()
                    || (member.incarnation().equals(incarnation) && member.state().reachable()))
        .orElse(false);
  }
}
