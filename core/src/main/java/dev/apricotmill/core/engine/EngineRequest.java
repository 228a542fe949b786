package dev.apricotmill.core.engine;

import java.time.Duration;

/**
 * A request to an engine to generate a sequence.
 *
 * @param sequence the identifier under which the engine holds the sequence
 * @param prompt the prompt's text
 * @param maximumOutputTokens maximum number of tokens of the whole output, those before {@code
 *     resumeAt} included
 * @param enginePriority priority in the engine; lower numbers are served first
 * @param timeLimit remaining time; after it the engine may drop the sequence
 * @param resumeAt position of the first token to generate, zero for a new stream
 * @param generatedText text of the tokens before {@code resumeAt}, which was already received
 */
public record EngineRequest(
    SequenceId sequence,
    String prompt,
    int maximumOutputTokens,
    int enginePriority,
    Duration timeLimit,
    long resumeAt,
    String generatedText) {}
