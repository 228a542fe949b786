package dev.apricotmill.core.length;

/** Classes of prompt lengths, on a roughly logarithmic scale. */
public enum LengthClass {
  /** Up to 4,000 tokens. */
  SHORT(4_000),
  /** Up to 32,000 tokens. */
  MEDIUM(32_000),
  /** Up to 128,000 tokens. */
  LONG(128_000),
  /** More than 128,000 tokens. */
  HUGE(Long.MAX_VALUE);

  private final long maximumTokens;

  LengthClass(long maximumTokens) {
    this.maximumTokens = maximumTokens;
  }

  /** Returns the length in tokens of the longest prompt in the class. */
  public long maximumTokens() {
    return maximumTokens;
  }

  /** Returns whether prompts of the class are prefilled apart from short and medium ones. */
  public boolean isLong() {
    return this == LONG || this == HUGE;
  }

  /** Returns the class of a prompt of the given length in tokens. */
  public static LengthClass of(long tokens) {
    for (LengthClass candidate : values()) {
      if (tokens <= candidate.maximumTokens) {
        return candidate;
      }
    }
    return HUGE;
  }
}
