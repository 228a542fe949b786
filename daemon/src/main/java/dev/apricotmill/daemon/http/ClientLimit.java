package dev.apricotmill.daemon.http;

/** A limit at which a client is refused or its connection is closed. */
public enum ClientLimit {
  /** There are too many connections. */
  CONNECTIONS,
  /** The head of a request was not received in time. */
  HEAD_TIMEOUT,
  /** The body of a request was not received in time. */
  BODY_TIMEOUT,
  /** A head or body is larger than allowed. */
  SIZE,
  /** The memory for what clients hold is used up. */
  MEMORY,
  /** A response was not read in time. */
  UNREAD_RESPONSE
}
