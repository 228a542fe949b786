package dev.apricotmill.daemon.http;

import java.time.Duration;

/**
 * Limits of an HTTP server.
 *
 * @param maximumHeaderBytes the maximum size of the request line and headers
 * @param maximumBodyBytes the maximum size of a request body
 * @param maximumBufferedBytes the maximum total size of the bodies of all open requests
 * @param maximumConnections the maximum number of connections that are served
 * @param readTimeout the time in which a request body must be received, and in which a caller must
 *     read the end of a response
 * @param idleTimeout the time after which a connection without a request is closed
 */
public record ServerLimits(
    int maximumHeaderBytes,
    int maximumBodyBytes,
    long maximumBufferedBytes,
    int maximumConnections,
    Duration readTimeout,
    Duration idleTimeout) {}
