package dev.apricotmill.core.relay;

import java.time.Duration;

/**
 * What a caller may send, and how long it may take.
 *
 * @param headerBytes the largest header in bytes
 * @param bodyBytes the largest body in bytes
 * @param readTimeout the time in which a request's header must have come
 * @param idleTimeout how long a connection may stay open without a request
 */
public record CallerLimits(
    int headerBytes, int bodyBytes, Duration readTimeout, Duration idleTimeout) {}
