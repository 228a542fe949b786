package dev.apricotmill.coordination.testing;

import dev.apricotmill.coordination.identity.Zone;

/**
 * One message between simulated processes as a cut sees it.
 *
 * @param from the sending process
 * @param fromZone its availability zone
 * @param to the receiving process
 * @param toZone its availability zone
 */
public record PeerMessage(String from, Zone fromZone, String to, Zone toZone) {}
