package dev.apricotmill.core.engine;

/**
 * The result of an idempotent call to an engine.
 *
 * @param <T> type of the response
 */
public sealed interface EngineResult<T> {

  /**
   * The engine responded.
   *
   * @param <T> type of the response
   * @param value the response
   */
  record Success<T>(T value) implements EngineResult<T> {}

  /**
   * The engine gave no usable response.
   *
   * @param <T> type of the expected response
   * @param failure why there is none
   */
  record Failure<T>(EngineFailure failure) implements EngineResult<T> {}
}
