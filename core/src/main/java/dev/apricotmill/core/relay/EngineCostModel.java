package dev.apricotmill.core.relay;

/**
 * Timing and capacity of a model engine, as configured by its operator.
 *
 * @param slots the number of requests that run concurrently
 * @param memoryTokens KV memory in tokens
 * @param stepMillis base time of one decode step in milliseconds
 * @param stepMillisPerSequence what each decoding request adds to a step, in milliseconds
 * @param stepMillisPerThousandContextTokens what each 1,000 tokens of context add to a step, in
 *     milliseconds
 * @param prefillTokensPerMillisecond prompt tokens prefilled per millisecond
 * @param attentionMillisPerMillionPairs attention time of 1,000,000 pairs of a token and an earlier
 *     one during prefill, in milliseconds
 * @param stepsPerIteration decode steps in one iteration of the engine
 * @param meanPromptTokens the mean length of prompts in tokens
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

  /** The part of a request's value that does not grow with its prompt length. */
  private static final double FIXED_VALUE = 0.3;

  /**
   * Below this number of prompts of mean length in the memory of an engine, the longest prompts
   * need several engines as a rule, and compete for them with the short ones.
   */
  private static final long PROMPTS_WITHOUT_COMPETITION = 16;

  /** Returns whether long and short prompts compete for the engines of a pool. */
  public boolean promptsCompete() {
    return memoryTokens < PROMPTS_WITHOUT_COMPETITION * meanPromptTokens;
  }

  /** Returns the time of a prefill on an otherwise idle engine, in milliseconds. */
  public double prefillMillis(long promptTokens) {
    double pairs = 0.5 * promptTokens * promptTokens;
    return promptTokens / prefillTokensPerMillisecond
        + pairs / PAIRS_PER_MILLION * attentionMillisPerMillionPairs;
  }

  /**
   * Returns the value of a request relative to one with a prompt of mean length. The fixed part
   * keeps the value of the shortest prompts above 0.
   */
  public double relativeValue(long promptTokens) {
    return FIXED_VALUE + (1 - FIXED_VALUE) * promptTokens / meanPromptTokens;
  }

  /** Returns the time of an iteration that only decodes, without prefill, in milliseconds. */
  public double decodeIterationMillis(int decodingRequests, long contextTokens) {
    return stepsPerIteration
        * (stepMillis
            + stepMillisPerSequence * decodingRequests
            + stepMillisPerThousandContextTokens * contextTokens / 1000.0);
  }
}
