package dev.apricotmill.adapters;

/** Why an exchange ended without a complete response. */
public enum ExchangeFailure {
  /** The connection could not be opened, or was lost. */
  CONNECTION_LOST,
  /** The timeout passed before any byte of a response arrived. */
  TIMEOUT,
  /** The timeout passed while a response was arriving. */
  INCOMPLETE,
  /** The response exceeded the size limit. */
  OVERSIZE,
  /** The response was malformed. */
  MALFORMED
}
