package dev.apricotmill.coordination.membership;

import dev.apricotmill.coordination.identity.Incarnation;
import dev.apricotmill.coordination.identity.Zone;

/**
 * What one daemon knows about another daemon or itself.
 *
 * @param incarnation the daemon's newest known incarnation
 * @param zone the daemon's availability zone
 * @param address where it accepts requests from peers
 * @param state the state of that incarnation
 * @param capacity the processor time that its VM may spend, in hundredths of a core; 0 if unknown
 */
public record Member(
    Incarnation incarnation, Zone zone, PeerAddress address, MemberState state, int capacity) {

  /** Creates a member of unknown capacity. */
  public Member(Incarnation incarnation, Zone zone, PeerAddress address, MemberState state) {
    this(incarnation, zone, address, state, 0);
  }

  /** Returns a copy with another state. */
  public Member withState(MemberState newState) {
    return new Member(incarnation, zone, address, newState, capacity);
  }

  /**
   * Returns whether this takes precedence over {@code other}, which describes the same daemon: a
   * higher incarnation wins, then a later {@link MemberState}.
   */
  public boolean supersedes(Member other) {
    long difference = incarnation.number() - other.incarnation.number();
    return difference != 0 ? difference > 0 : state.compareTo(other.state) > 0;
  }
}
