package dev.apricotmill.core.relay;

/**
 * The size of a text generation request, as stated by its caller.
 *
 * @param promptTokens the length of the prompt in tokens
 * @param maximumOutputTokens the maximum number of generated tokens
 */
public record GenerationSize(long promptTokens, long maximumOutputTokens) {}
