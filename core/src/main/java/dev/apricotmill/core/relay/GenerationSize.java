package dev.apricotmill.core.relay;

/**
 * The size of a request for generated text, as its caller states it.
 *
 * @param promptTokens tokens of the prompt
 * @param maximumOutputTokens the most tokens that may be written
 */
public record GenerationSize(long promptTokens, long maximumOutputTokens) {}
