package dev.apricotmill.core.engine;

/** Why a stream from an engine or a call to an engine failed. */
public enum EngineFailure {
  /** The connection was lost. */
  CONNECTION_LOST,
  /** The engine sent nothing within the time limit. */
  SILENT,
  /** The engine reported an error. */
  ENGINE_ERROR,
  /** A chunk could not be parsed, or belonged to another request or position. */
  MALFORMED
}
