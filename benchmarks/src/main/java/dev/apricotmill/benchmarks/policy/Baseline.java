package dev.apricotmill.benchmarks.policy;

/** Well-known policies against which the product is measured. */
public enum Baseline {
  /** Replicas in turn. */
  ROUND_ROBIN,
  /** Any replica. */
  RANDOM,
  /** The replica with the fewest requests of all entry daemons open. */
  LEAST_OUTSTANDING,
  /** The less loaded of two by the engine's lagged load. */
  TWO_CHOICES_LAGGED,
  /** The least outstanding tokens, with one first-in-first-out queue at each steward. */
  LENGTH_BLIND_QUEUE,
  /** The same, with batches gathered in one bin for each length class before they are queued. */
  MULTI_BIN_BATCHES
}
