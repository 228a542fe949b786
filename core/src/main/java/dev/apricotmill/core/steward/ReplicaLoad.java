package dev.apricotmill.core.steward;

import dev.apricotmill.core.length.LengthClass;
import java.time.Duration;

/**
 * What a steward tells of its replica with every answer.
 *
 * @param memoryTokens KV memory of the replica in tokens
 * @param reservedTokens KV memory reserved by running requests
 * @param queuedRequests requests that wait at the steward
 * @param queuedPromptTokens prompt tokens of all lengths that wait or are being read
 * @param shortPromptTokens those of them in prompts of class {@link LengthClass#SHORT}
 * @param mediumPromptTokens those of them in prompts of class {@link LengthClass#MEDIUM}
 * @param longPromptTokens those of them in prompts of class {@link LengthClass#LONG}
 * @param longPrompts long prompts that wait or are being read
 * @param prefillTokensPerSecond the rate at which the replica was seen to read prompts
 * @param timeToFirstToken what a short request may expect to wait for its first token
 */
public record ReplicaLoad(
    long memoryTokens,
    long reservedTokens,
    int queuedRequests,
    long queuedPromptTokens,
    long shortPromptTokens,
    long mediumPromptTokens,
    long longPromptTokens,
    int longPrompts,
    double prefillTokensPerSecond,
    Duration timeToFirstToken) {

  /** The load of a replica of which nothing is known yet. */
  public static final ReplicaLoad UNKNOWN =
      new ReplicaLoad(0, 0, 0, 0, 0, 0, 0, 0, 0, Duration.ZERO);

  /** Returns the queued prompt tokens in prompts of at most the given class. */
  public long queuedPromptTokensUpTo(LengthClass lengthClass) {
    if (lengthClass == LengthClass.SHORT) {
      return shortPromptTokens;
    }
    if (lengthClass == LengthClass.MEDIUM) {
      return shortPromptTokens + mediumPromptTokens;
    }
    if (lengthClass == LengthClass.LONG) {
      return shortPromptTokens + mediumPromptTokens + longPromptTokens;
    }
    return queuedPromptTokens;
  }
}
