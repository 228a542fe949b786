package dev.apricotmill.node.matrix;

/** Why a fault cannot occur at a step. */
enum ImpossibleReason {
  /** The step calls no engine. */
  NO_ENGINE_AT_THIS_STEP,
  /** The step calls no plain service. */
  NO_SERVICE_AT_THIS_STEP,
  /** The step itself kills the process in which the fault would occur. */
  PROCESS_ALREADY_GONE,
  /** The step does not stream a response. */
  NO_STREAM_AT_THIS_STEP
}
