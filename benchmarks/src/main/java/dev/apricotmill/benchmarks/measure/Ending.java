package dev.apricotmill.benchmarks.measure;

/** How a request of the workload ended. */
public enum Ending {
  /** Its whole answer came in its time. */
  ANSWERED,
  /** It was refused before anything waited for it. */
  REFUSED,
  /** It was admitted and its time ran out. */
  MISSED,
  /** A fault broke it after it may have started. */
  BROKEN,
  /** Nothing was heard of it. */
  OPEN
}
