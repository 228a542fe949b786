package dev.apricotmill.benchmarks.workload;

import dev.apricotmill.benchmarks.fleet.EngineSequence;
import dev.apricotmill.core.length.LengthClass;
import org.jspecify.annotations.Nullable;

/**
 * One request of the workload.
 *
 * @param number its number, from zero
 * @param atNanos when it arrives
 * @param customer the number of its customer
 * @param promptTokens the true length of its prompt
 * @param promptBytes the bytes of its prompt
 * @param outputTokens the true length of its answer
 * @param maximumOutputTokens the longest answer that it asks for
 * @param prefix the prefix that it shares with others of its customer, or null
 * @param timeLimitNanos the time in which its answer must end
 */
public record Arrival(
    int number,
    long atNanos,
    int customer,
    long promptTokens,
    long promptBytes,
    int outputTokens,
    int maximumOutputTokens,
    EngineSequence.@Nullable Prefix prefix,
    long timeLimitNanos) {

  /** Returns the class of the true length. */
  public LengthClass lengthClass() {
    return LengthClass.of(promptTokens);
  }
}
