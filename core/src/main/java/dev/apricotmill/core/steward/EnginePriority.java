package dev.apricotmill.core.steward;

/** Gives the priority at the engine: a shorter prompt goes first, by powers of two. */
final class EnginePriority {

  private static final long FIRST_STEP_TOKENS = 1_000;

  private EnginePriority() {}

  /** Returns the priority of a prompt; a lower number goes first. */
  static int of(long promptTokens) {
    return Long.SIZE - Long.numberOfLeadingZeros(promptTokens / FIRST_STEP_TOKENS);
  }
}
