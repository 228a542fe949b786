package dev.apricotmill.core.engine;

/**
 * An engine's load report, which lags behind the engine's actual load.
 *
 * @param memoryTokens KV memory in tokens
 * @param usedTokens KV memory in use, cached prefixes excluded
 * @param running sequences in the batch
 * @param waiting sequences queued in the engine
 * @param modelVersion the version of the loaded model
 * @param role the engine's role
 */
public record EngineLoad(
    long memoryTokens,
    long usedTokens,
    int running,
    int waiting,
    String modelVersion,
    EngineRole role) {}
