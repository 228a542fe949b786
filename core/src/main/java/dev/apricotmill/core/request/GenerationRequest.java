package dev.apricotmill.core.request;

import dev.apricotmill.coordination.time.Deadline;

/**
 * An admitted request for generated text.
 *
 * @param id the request's identifier
 * @param customer who asked
 * @param service the model pool
 * @param prompt the prompt's text; a chat is rendered to one text by the entry daemon
 * @param promptTokens the estimated length of the prompt in tokens
 * @param maximumOutputTokens the most tokens to generate, at least 1
 * @param priority the customer's priority
 * @param weight the customer's weight, at least 1
 * @param prefix the fingerprint of the prompt's beginning
 * @param repeatable whether the request may be run again after it may have started
 * @param deadline when the whole answer must have ended
 */
public record GenerationRequest(
    RequestId id,
    CustomerId customer,
    ServiceName service,
    String prompt,
    long promptTokens,
    int maximumOutputTokens,
    Priority priority,
    int weight,
    PrefixFingerprint prefix,
    boolean repeatable,
    Deadline deadline) {

  /** Returns the KV memory in tokens that the request can need at most. */
  public long memoryTokens() {
    return promptTokens + maximumOutputTokens;
  }

  /** Returns the same request with another length estimate. */
  public GenerationRequest withPromptTokens(long tokens) {
    return new GenerationRequest(
        id,
        customer,
        service,
        prompt,
        tokens,
        maximumOutputTokens,
        priority,
        weight,
        prefix,
        repeatable,
        deadline);
  }
}
