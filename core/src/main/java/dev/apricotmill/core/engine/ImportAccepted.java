package dev.apricotmill.core.engine;

/**
 * The engine's confirmation that it imported a KV cache.
 *
 * @param tokens the imported length in tokens
 */
public record ImportAccepted(long tokens) {}
