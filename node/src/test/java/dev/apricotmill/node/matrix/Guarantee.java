package dev.apricotmill.node.matrix;

/** The guarantees that are checked after every cell. */
enum Guarantee {
  ONE_OUTCOME_IN_TIME,
  NO_MEMORY_LEFT,
  WHOLE_ANSWERS,
  NOT_RUN_IS_TRUE,
  AT_MOST_ONCE,
  NO_WORK_WHEN_LEAVING,
  STOPS_CUT_NOTHING,
  CONFIGURATION_IN_FORCE,
  PLATFORM_RATES
}
