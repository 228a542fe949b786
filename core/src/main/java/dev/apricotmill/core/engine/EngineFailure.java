package dev.apricotmill.core.engine;

/** Why a stream from an engine, or a call of it, broke. */
public enum EngineFailure {
  /** The connection broke. */
  CONNECTION_LOST,
  /** Nothing came within the time limit. */
  SILENT,
  /** The engine reported an error. */
  ENGINE_ERROR,
  /** A chunk could not be understood, or belonged to another request or position. */
  MALFORMED
}
