package dev.apricotmill.core.engine;

/** The answer to an engine order. */
public sealed interface OrderResult {

  /** The engine took the order and works towards the state. */
  record Accepted() implements OrderResult {}

  /**
   * The engine saw a higher fencing number.
   *
   * @param highestSeen that number
   */
  record Fenced(long highestSeen) implements OrderResult {}

  /**
   * It is not known whether the engine took the order.
   *
   * @param failure why
   */
  record Unanswered(EngineFailure failure) implements OrderResult {}
}
