package dev.apricotmill.node.matrix;

/** Why a fault cannot occur at a step. */
enum ImpossibleReason {
  /** The step calls no engine. */
  NO_ENGINE_AT_THIS_STEP,
  /** The step calls no plain service. */
  NO_SERVICE_AT_THIS_STEP,
  /** The step is itself the death of the process that would fail. */
  PROCESS_ALREADY_GONE,
  /** The step does not stream an answer. */
  NO_STREAM_AT_THIS_STEP
}
