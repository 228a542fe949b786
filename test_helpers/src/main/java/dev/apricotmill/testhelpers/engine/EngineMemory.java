package dev.apricotmill.testhelpers.engine;

/** Accounts for the KV memory of an engine, and fails loudly when the account goes wrong. */
final class EngineMemory {

  private final long capacityTokens;
  private long usedTokens;

  EngineMemory(long capacityTokens) {
    this.capacityTokens = capacityTokens;
  }

  boolean reserve(long tokens) {
    if (tokens > capacityTokens - usedTokens) {
      return false;
    }
    usedTokens += tokens;
    return true;
  }

  void free(long tokens) {
    if (tokens > usedTokens) {
      throw new IllegalStateException("freed " + tokens + " of " + usedTokens + " used tokens");
    }
    usedTokens -= tokens;
  }

  long usedTokens() {
    return usedTokens;
  }

  long capacityTokens() {
    return capacityTokens;
  }
}
