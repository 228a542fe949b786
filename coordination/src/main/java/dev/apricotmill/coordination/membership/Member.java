package dev.apricotmill.coordination.membership;

import dev.apricotmill.coordination.identity.Incarnation;
import dev.apricotmill.coordination.identity.Zone;

/**
 * What one daemon believes of another daemon or of itself.
 *
 * @param incarnation the daemon's newest known life
 * @param zone its availability zone
 * @param address its inner port
 * @param state what is believed of that life
 */
public record Member(Incarnation incarnation, Zone zone, PeerAddress address, MemberState state) {

  /** Returns the same member in another state. */
  public Member withState(MemberState newState) {
    return new Member(incarnation, zone, address, newState);
  }

  /** Returns whether this knowledge goes before {@code other}, which is of the same daemon. */
  public boolean supersedes(Member other) {
    long difference = incarnation.number() - other.incarnation.number();
    return difference != 0 ? difference > 0 : state.compareTo(other.state) > 0;
  }
}
