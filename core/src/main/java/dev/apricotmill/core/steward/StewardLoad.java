package dev.apricotmill.core.steward;

import java.time.Duration;

/**
 * What a steward tells of its replica with every answer.
 *
 * @param memoryTokens KV memory of the replica in tokens
 * @param reservedTokens KV memory reserved by running requests
 * @param queuedRequests requests that wait at the steward
 * @param queuedPromptTokens prompt tokens that wait or are being read
 * @param longPrompts long prompts that wait or are being read
 * @param timeToFirstToken what a short request may expect to wait for its first token
 */
public record StewardLoad(
    long memoryTokens,
    long reservedTokens,
    int queuedRequests,
    long queuedPromptTokens,
    int longPrompts,
    Duration timeToFirstToken) {

  /** The load of a replica of which nothing is known yet. */
  public static final StewardLoad UNKNOWN = new StewardLoad(0, 0, 0, 0, 0, Duration.ZERO);
}
