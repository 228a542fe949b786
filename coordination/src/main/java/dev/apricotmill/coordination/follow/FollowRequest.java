package dev.apricotmill.coordination.follow;

import com.google.common.collect.ImmutableMap;
import java.time.Duration;

/**
 * A long poll that a process sends to a peer.
 *
 * @param revisions the revision at which the requester knows each prefix, -1 if it is unknown
 * @param maxWait how long the peer may wait for an update before it responds
 */
public record FollowRequest(ImmutableMap<String, Long> revisions, Duration maxWait) {}
