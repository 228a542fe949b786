package dev.apricotmill.core.configuration;

/**
 * What one engine of a pool can do, as a starting point that observation corrects.
 *
 * @param memoryTokens KV memory in tokens
 * @param prefillTokensPerSecond prompt tokens read a second when nothing else runs
 * @param decodeTokensPerSecond tokens generated a second by one sequence
 * @param maximumSequences sequences in one batch
 */
public record EngineProfile(
    long memoryTokens,
    double prefillTokensPerSecond,
    double decodeTokensPerSecond,
    int maximumSequences) {}
