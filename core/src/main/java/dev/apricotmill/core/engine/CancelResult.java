package dev.apricotmill.core.engine;

/** The result of cancelling a sequence or releasing an export. */
public enum CancelResult {
  /** The engine freed the memory. */
  RELEASED,
  /** The engine holds no memory under that identifier. */
  NOT_HELD,
  /** The engine did not respond. */
  UNANSWERED
}
