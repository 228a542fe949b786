package dev.apricotmill.core.steward;

import dev.apricotmill.core.length.LengthClass;
import java.time.Duration;

/**
 * The load of a replica, which its steward reports with every response.
 *
 * @param memoryTokens KV memory of the replica in tokens
 * @param reservedTokens KV memory reserved by running requests in tokens
 * @param queuedRequests requests that wait at the steward
 * @param queuedPromptTokens prompt tokens of all length classes that wait or are being prefilled
 * @param shortPromptTokens those of them in prompts of class {@link LengthClass#SHORT}
 * @param mediumPromptTokens those of them in prompts of class {@link LengthClass#MEDIUM}
 * @param longPromptTokens those of them in prompts of class {@link LengthClass#LONG}
 * @param longPrompts the number of long prompts that wait or are being prefilled
 * @param prefillTokensPerSecond the observed prefill rate
 * @param timeToFirstToken the predicted time to first token of a short request
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

  /** The load of a replica that has not reported any yet. */
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
