package dev.apricotmill.core.engine;

/** The result of an engine order. */
public sealed interface OrderResult {

  /** The engine accepted the order and is moving to the target state. */
  record Accepted() implements OrderResult {}

  /**
   * The engine refused the order because it has seen a higher fencing number.
   *
   * @param highestSeen the highest fencing number that the engine has seen
   */
  record Fenced(long highestSeen) implements OrderResult {}

  /**
   * It is unknown whether the engine accepted the order.
   *
   * @param failure why it is unknown
   */
  record Unanswered(EngineFailure failure) implements OrderResult {}
}
