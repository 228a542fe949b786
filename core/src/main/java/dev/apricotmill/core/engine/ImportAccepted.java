package dev.apricotmill.core.engine;

/**
 * The engine imported a KV cache.
 *
 * @param tokens the imported length in tokens
 */
public record ImportAccepted(long tokens) {}
