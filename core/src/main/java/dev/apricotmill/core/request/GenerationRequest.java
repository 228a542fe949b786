package dev.apricotmill.core.request;

import dev.apricotmill.coordination.time.Deadline;

/**
 * An admitted request for generated text.
 *
 * @param id the request's identifier
 * @param customer the customer that sent the request
 * @param service the model pool
 * @param prompt the prompt's text; the entry daemon renders a chat to a single text
 * @param promptTokens the estimated length of the prompt in tokens
 * @param maximumOutputTokens maximum number of tokens to generate, at least 1
 * @param priority the customer's priority
 * @param weight the customer's weight, at least 1
 * @param prefix the fingerprint of the prompt's first block
 * @param repeatable whether the request may be run again after it may have started
 * @param deadline time by which the response must be complete
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

  /** Returns the maximum KV memory, in tokens, that the request can need. */
  public long memoryTokens() {
    return promptTokens + maximumOutputTokens;
  }

  /** Returns a copy of the request with another length estimate. */
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
