package dev.apricotmill.core.configuration;

/**
 * Expected performance of one engine of a pool. Estimates start from it and are corrected by
 * observation.
 *
 * @param memoryTokens KV memory in tokens
 * @param prefillTokensPerSecond prompt tokens prefilled per second when nothing else runs
 * @param decodeTokensPerSecond tokens generated per second by one sequence
 * @param maximumSequences maximum number of sequences in one batch
 */
public record EngineProfile(
    long memoryTokens,
    double prefillTokensPerSecond,
    double decodeTokensPerSecond,
    int maximumSequences) {}
