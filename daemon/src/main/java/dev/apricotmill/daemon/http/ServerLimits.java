package dev.apricotmill.daemon.http;

import java.time.Duration;

/**
 * Bounds of an HTTP server.
 *
 * @param maximumHeaderBytes the largest header in bytes
 * @param maximumBodyBytes the largest body in bytes
 * @param maximumBufferedBytes bytes of bodies that all open requests may hold together
 * @param maximumConnections connections that may be open
 * @param readTimeout the time in which a whole request must have come
 * @param idleTimeout how long a connection may stay open without a request
 */
public record ServerLimits(
    int maximumHeaderBytes,
    int maximumBodyBytes,
    long maximumBufferedBytes,
    int maximumConnections,
    Duration readTimeout,
    Duration idleTimeout) {}
