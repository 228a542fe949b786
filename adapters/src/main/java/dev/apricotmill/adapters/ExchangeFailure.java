package dev.apricotmill.adapters;

/** Why an exchange ended without a whole answer. */
public enum ExchangeFailure {
  /** The connection could not be made, or broke. */
  CONNECTION_LOST,
  /** The time ran out. */
  TIMEOUT,
  /** The answer was larger than the limit. */
  OVERSIZE,
  /** The answer was not well formed. */
  MALFORMED
}
