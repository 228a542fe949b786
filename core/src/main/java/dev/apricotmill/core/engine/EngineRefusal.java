package dev.apricotmill.core.engine;

/** Why an engine did not start a sequence. */
public enum EngineRefusal {
  /** No connection could be made. */
  UNREACHABLE,
  /** The engine has no memory for it. */
  NO_MEMORY,
  /** The engine leaves or loads a model. */
  NOT_SERVING,
  /** The engine does not understand the request. */
  INVALID
}
