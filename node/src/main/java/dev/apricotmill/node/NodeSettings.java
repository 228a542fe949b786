package dev.apricotmill.node;

import dev.apricotmill.coordination.identity.DaemonId;
import dev.apricotmill.coordination.identity.Zone;
import dev.apricotmill.coordination.membership.PeerAddress;
import java.time.Duration;

/**
 * The settings that a node is started with.
 *
 * @param daemon the daemon's name
 * @param zone its availability zone
 * @param innerAddress the address at which peers reach it
 * @param maximumOpenRequests the most requests that callers may have open at once
 * @param defaultTimeLimit the time limit of requests that do not set one
 * @param maximumTimeLimit the longest time limit that a caller may request
 */
public record NodeSettings(
    DaemonId daemon,
    Zone zone,
    PeerAddress innerAddress,
    int maximumOpenRequests,
    Duration defaultTimeLimit,
    Duration maximumTimeLimit) {}
