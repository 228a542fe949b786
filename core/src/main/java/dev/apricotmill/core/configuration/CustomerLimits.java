package dev.apricotmill.core.configuration;

/**
 * Limits of a customer across the whole deployment.
 *
 * @param requestsPerSecond requests admitted per second, as a long-term average
 * @param promptTokensPerSecond prompt tokens admitted per second, as a long-term average
 * @param openRequests maximum number of open requests
 */
public record CustomerLimits(
    double requestsPerSecond, double promptTokensPerSecond, int openRequests) {}
