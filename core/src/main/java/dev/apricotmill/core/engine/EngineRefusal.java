package dev.apricotmill.core.engine;

/** Why an engine did not start a sequence. */
public enum EngineRefusal {
  /** No connection could be made. */
  UNREACHABLE,
  /** The engine does not have enough free memory for the sequence. */
  NO_MEMORY,
  /** The engine is leaving service or is loading a model. */
  NOT_SERVING,
  /** The engine rejected the request as invalid. */
  INVALID
}
