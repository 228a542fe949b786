package dev.apricotmill.core.length;

/**
 * The length of a prompt before the engine has counted it.
 *
 * @param tokens the likely number of tokens, by which its class is chosen
 * @param upperTokens the number that is seldom passed, by which memory is reserved
 */
public record LengthEstimate(long tokens, long upperTokens) {

  /** Returns the length class of the likely number of tokens. */
  public LengthClass lengthClass() {
    return LengthClass.of(tokens);
  }
}
