package dev.apricotmill.core.engine;

import java.time.Duration;

/**
 * What an engine is asked to run.
 *
 * @param sequence the identifier under which the engine holds the sequence
 * @param prompt the prompt's text
 * @param maximumOutputTokens the most tokens to generate in all, those before {@code resumeAt}
 *     included
 * @param enginePriority a lower number goes first
 * @param timeLimit the time that remains; the engine may drop the sequence after it
 * @param resumeAt the position of the first token that is still wanted, zero for a new stream
 * @param generatedText the text that was already received before {@code resumeAt}
 */
public record EngineRequest(
    SequenceId sequence,
    String prompt,
    int maximumOutputTokens,
    int enginePriority,
    Duration timeLimit,
    long resumeAt,
    String generatedText) {}
