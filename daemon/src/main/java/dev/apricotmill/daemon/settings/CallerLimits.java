package dev.apricotmill.daemon.settings;

import java.time.Duration;

/**
 * Limits on callers' connections and requests.
 *
 * @param maximumHeaderBytes the largest request header in bytes
 * @param maximumBodyBytes the largest request body in bytes
 * @param maximumBufferedBytes the largest total of body bytes buffered for all open requests
 * @param maximumConnections the largest number of open connections
 * @param maximumOpenRequests the largest number of open requests
 * @param readTimeout the time within which a complete request must arrive
 */
public record CallerLimits(
    int maximumHeaderBytes,
    int maximumBodyBytes,
    int maximumBufferedBytes,
    int maximumConnections,
    int maximumOpenRequests,
    Duration readTimeout) {}
