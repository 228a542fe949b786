package dev.apricotmill.coordination.follow;

import java.time.Duration;

/**
 * Bounds of following a prefix.
 *
 * @param watchWait how long a watch waits for a change; also how late a silent connection is
 *     noticed
 * @param listTimeout how long a list may take
 * @param firstDelay the pause after a first failure
 * @param longestDelay the longest pause after repeated failures
 */
public record FollowSettings(
    Duration watchWait, Duration listTimeout, Duration firstDelay, Duration longestDelay) {}
