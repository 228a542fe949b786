package dev.apricotmill.daemon.settings;

import java.time.Duration;

/**
 * Bounds on what callers send.
 *
 * @param maximumHeaderBytes the largest header in bytes
 * @param maximumBodyBytes the largest body in bytes
 * @param maximumBufferedBytes bytes of bodies that all open requests may hold together
 * @param maximumConnections connections that may be open
 * @param maximumOpenRequests requests that may be open
 * @param readTimeout the time in which a whole request must have come
 */
public record CallerLimits(
    int maximumHeaderBytes,
    int maximumBodyBytes,
    int maximumBufferedBytes,
    int maximumConnections,
    int maximumOpenRequests,
    Duration readTimeout) {}
