package dev.apricotmill.core.length;

/**
 * Estimated length of a prompt, used until the engine has counted its tokens.
 *
 * @param tokens expected number of tokens, which decides the length class
 * @param upperTokens number of tokens that is seldom exceeded, which decides how much memory is
 *     reserved
 */
public record LengthEstimate(long tokens, long upperTokens) {

  /** Returns the length class of the expected number of tokens. */
  public LengthClass lengthClass() {
    return LengthClass.of(tokens);
  }
}
