package dev.apricotmill.coordination.testing;

import dev.apricotmill.coordination.identity.Zone;

/**
 * One message between simulated processes, as passed to the drop rules of {@link FakePeerNetwork}.
 *
 * @param from the sending process
 * @param fromZone the sender's availability zone
 * @param to the receiving process
 * @param toZone the receiver's availability zone
 */
public record PeerMessage(String from, Zone fromZone, String to, Zone toZone) {}
