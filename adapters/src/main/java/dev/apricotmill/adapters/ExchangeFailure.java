package dev.apricotmill.adapters;

/** Why an exchange ended without a complete response. */
public enum ExchangeFailure {
  /** The connection could not be opened, or was lost. */
  CONNECTION_LOST,
  /** The timeout passed. */
  TIMEOUT,
  /** The response exceeded the size limit. */
  OVERSIZE,
  /** The response was malformed. */
  MALFORMED
}
