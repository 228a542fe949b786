package dev.apricotmill.core.relay;

/**
 * How a model engine works, as its operator states it.
 *
 * @param slots requests that run at once
 * @param memoryTokens tokens that its memory holds
 * @param stepMillis time of one token step in milliseconds
 * @param stepMillisPerSequence what each writing request adds to a step, in milliseconds
 * @param stepMillisPerThousandContextTokens what context adds to a step, in milliseconds
 * @param prefillTokensPerMillisecond prompt tokens read in a millisecond
 * @param attentionMillisPerMillionPairs what a million pairs of a token and an earlier one add to
 *     reading, in milliseconds
 * @param stepsPerIteration token steps of a pass in which a request writes
 * @param meanPromptTokens the mean length of prompts
 */
public record EngineCostModel(
    int slots,
    long memoryTokens,
    double stepMillis,
    double stepMillisPerSequence,
    double stepMillisPerThousandContextTokens,
    double prefillTokensPerMillisecond,
    double attentionMillisPerMillionPairs,
    int stepsPerIteration,
    long meanPromptTokens) {

  private static final double PAIRS_PER_MILLION = 1e6;

  /** The part of a request's value that does not grow with its prompt. */
  private static final double FIXED_VALUE = 0.3;

  /** Returns how long one engine reads a prompt that it has to itself, in milliseconds. */
  public double prefillMillis(long promptTokens) {
    double pairs = 0.5 * promptTokens * promptTokens;
    return promptTokens / prefillTokensPerMillisecond
        + pairs / PAIRS_PER_MILLION * attentionMillisPerMillionPairs;
  }

  /**
   * Returns what a request is worth beside one of usual length. The fixed part keeps the shortest
   * ones from counting for nothing.
   */
  public double relativeValue(long promptTokens) {
    return FIXED_VALUE + (1 - FIXED_VALUE) * promptTokens / meanPromptTokens;
  }

  /** Returns how long a pass takes in which requests write and none reads, in milliseconds. */
  public double decodeIterationMillis(int decodingRequests, long contextTokens) {
    return stepsPerIteration
        * (stepMillis
            + stepMillisPerSequence * decodingRequests
            + stepMillisPerThousandContextTokens * contextTokens / 1000.0);
  }
}
