package dev.apricotmill.core.engine;

/**
 * The answer to a call of an engine that may be repeated.
 *
 * @param <T> what the engine answers
 */
public sealed interface EngineResult<T> {

  /**
   * The engine answered.
   *
   * @param <T> what the engine answers
   * @param value the answer
   */
  record Success<T>(T value) implements EngineResult<T> {}

  /**
   * The engine gave no usable answer.
   *
   * @param <T> what the engine would have answered
   * @param failure why
   */
  record Failure<T>(EngineFailure failure) implements EngineResult<T> {}
}
