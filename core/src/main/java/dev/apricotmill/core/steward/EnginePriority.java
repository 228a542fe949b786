package dev.apricotmill.core.steward;

/** Priorities at the engine: shorter prompts go first, in classes by powers of two. */
final class EnginePriority {

  private static final long FIRST_STEP_TOKENS = 1_000;

  private EnginePriority() {}

  /** Returns the priority of a prompt; a lower number goes first. */
  static int of(long promptTokens) {
    return Long.SIZE - Long.numberOfLeadingZeros(promptTokens / FIRST_STEP_TOKENS);
  }
}
