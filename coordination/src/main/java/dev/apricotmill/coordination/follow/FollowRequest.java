package dev.apricotmill.coordination.follow;

import com.google.common.collect.ImmutableMap;
import java.time.Duration;

/**
 * What a process asks a peer.
 *
 * @param revisions the revision up to which each prefix is known, -1 where nothing is
 * @param maxWait how long the peer may wait for something new before it answers
 */
public record FollowRequest(ImmutableMap<String, Long> revisions, Duration maxWait) {}
