package dev.apricotmill.core.relay;

import java.time.Duration;

/**
 * Size and time limits for requests of callers.
 *
 * @param headerBytes the maximum size of a header in bytes
 * @param bodyBytes the maximum size of a body in bytes
 * @param readTimeout the time within which a request's header must arrive
 * @param idleTimeout how long a connection may stay open without a request
 */
public record CallerLimits(
    int headerBytes, int bodyBytes, Duration readTimeout, Duration idleTimeout) {}
