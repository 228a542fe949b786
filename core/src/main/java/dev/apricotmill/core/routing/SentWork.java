package dev.apricotmill.core.routing;

import dev.apricotmill.core.length.LengthClass;

/**
 * Prompt tokens that one entry daemon has sent to a replica since the replica's last load report.
 *
 * @param loadAtNanos when that report was received
 * @param shortTokens tokens in short prompts
 * @param mediumTokens tokens in medium prompts
 * @param longTokens tokens in long prompts
 * @param hugeTokens tokens in huge prompts
 * @param memoryTokens KV memory of the requests in tokens
 */
record SentWork(
    long loadAtNanos,
    long shortTokens,
    long mediumTokens,
    long longTokens,
    long hugeTokens,
    long memoryTokens) {

  static SentWork none(long loadAtNanos) {
    return new SentWork(loadAtNanos, 0, 0, 0, 0, 0);
  }

  SentWork plus(LengthClass lengthClass, long promptTokens, long memory) {
    return new SentWork(
        loadAtNanos,
        shortTokens + (lengthClass == LengthClass.SHORT ? promptTokens : 0),
        mediumTokens + (lengthClass == LengthClass.MEDIUM ? promptTokens : 0),
        longTokens + (lengthClass == LengthClass.LONG ? promptTokens : 0),
        hugeTokens + (lengthClass == LengthClass.HUGE ? promptTokens : 0),
        memoryTokens + memory);
  }

  long promptTokensUpTo(LengthClass lengthClass) {
    long tokens = shortTokens;
    if (lengthClass.compareTo(LengthClass.MEDIUM) >= 0) {
      tokens += mediumTokens;
    }
    if (lengthClass.compareTo(LengthClass.LONG) >= 0) {
      tokens += longTokens;
    }
    if (lengthClass.compareTo(LengthClass.HUGE) >= 0) {
      tokens += hugeTokens;
    }
    return tokens;
  }
}
