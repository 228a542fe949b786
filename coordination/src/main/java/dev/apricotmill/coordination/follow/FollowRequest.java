package dev.apricotmill.coordination.follow;

import com.google.common.collect.ImmutableMap;
import dev.apricotmill.coordination.platform.StorePosition;
import java.time.Duration;

/**
 * A long poll that a process sends to a peer.
 *
 * @param positions the position of the store at which the requester knows each prefix, {@link
 *     StorePosition#UNKNOWN} if it knows nothing
 * @param maxWait how long the peer may wait for an update before it responds
 */
public record FollowRequest(ImmutableMap<String, StorePosition> positions, Duration maxWait) {}
