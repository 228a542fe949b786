package dev.apricotmill.node.api;

import dev.apricotmill.core.request.RequestId;
import dev.apricotmill.core.request.ServiceName;
import java.time.Duration;
import java.util.Optional;

/**
 * A caller's request for generated text, before admission.
 *
 * @param id the identifier that every response carries
 * @param customerKey the caller's API key in plain text, empty if none was given
 * @param service the model pool
 * @param prompt the prompt; a chat is already rendered to a single text
 * @param maximumOutputTokens the most tokens to generate, at least 1
 * @param timeLimit the caller's time limit, if given
 * @param idempotencyKey the caller's idempotency key, if given
 * @param traceParent the W3C trace context, empty if none
 */
public record GenerationSubmission(
    RequestId id,
    String customerKey,
    ServiceName service,
    String prompt,
    int maximumOutputTokens,
    Optional<Duration> timeLimit,
    Optional<String> idempotencyKey,
    String traceParent) {}
