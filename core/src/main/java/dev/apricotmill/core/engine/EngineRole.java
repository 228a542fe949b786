package dev.apricotmill.core.engine;

/** What an engine is used for. */
public enum EngineRole {
  /** Prompts of all lengths. */
  MIXED,
  /** Prefers long prompts. */
  LONG_PROMPTS,
  /** Takes no work. */
  IDLE
}
