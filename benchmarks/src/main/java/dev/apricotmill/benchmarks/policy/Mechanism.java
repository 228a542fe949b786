package dev.apricotmill.benchmarks.policy;

/** Mechanisms of the product's policy that a measurement can switch off alone. */
public enum Mechanism {
  /** The choice of a replica that may have the prefix cached. */
  PREFIX_AFFINITY,
  /** The account of work sent since a load was heard of. */
  SENT_WORK,
  /** The load of a replica with the chunks of its answers, not at their ends alone. */
  LOAD_ON_CHUNKS,
  /** Other zones while the own one is busy. */
  SPILL,
  /** The priority of shorter prompts at the engine. */
  ENGINE_PRIORITY,
  /** The refusal of what cannot end in its time. */
  ADMISSION,
  /** Groups of engines for the largest prompts. */
  GROUPS,
  /** Limits for each customer, here twice its share of the requests that the fleet can serve. */
  CUSTOMER_LIMITS,
  /** Fair queues between customers. */
  FAIRNESS,
  /** The repeat of work that did not run or is idempotent. */
  RETRY,
  /** The ejection of slow or failing replicas. */
  EJECTION
}
