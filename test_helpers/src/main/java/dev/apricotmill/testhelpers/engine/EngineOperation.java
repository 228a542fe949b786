package dev.apricotmill.testhelpers.engine;

/** The calls of an engine that can go wrong. */
public enum EngineOperation {
  /** Generation of an answer. */
  GENERATE,
  /** Cancelling a sequence. */
  CANCEL,
  /** Reading the load report. */
  LOAD,
  /** Listing what holds memory. */
  HELD,
  /** Reading cache events. */
  CACHE_EVENTS,
  /** Exporting a KV cache. */
  EXPORT,
  /** Importing a KV cache. */
  IMPORT,
  /** Releasing an export. */
  RELEASE,
  /** Taking an order. */
  ORDER
}
