package dev.apricotmill.core.engine;

/** Which work an engine takes. */
public enum EngineRole {
  /** Takes prompts of all lengths. */
  MIXED,
  /** Prefers long prompts. */
  LONG_PROMPTS,
  /** Takes no work. */
  IDLE
}
