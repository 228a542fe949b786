package dev.apricotmill.core.configuration;

/**
 * What a customer may ask of the whole deployment.
 *
 * @param requestsPerSecond requests admitted a second, in the long run
 * @param promptTokensPerSecond prompt tokens admitted a second, in the long run
 * @param openRequests requests open at once
 */
public record CustomerLimits(
    double requestsPerSecond, double promptTokensPerSecond, int openRequests) {}
