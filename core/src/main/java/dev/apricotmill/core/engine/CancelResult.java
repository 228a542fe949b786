package dev.apricotmill.core.engine;

/** The answer to a cancel or release. */
public enum CancelResult {
  /** The engine freed the memory. */
  RELEASED,
  /** The engine held nothing under that identifier. */
  NOT_HELD,
  /** The engine did not answer. */
  UNANSWERED
}
