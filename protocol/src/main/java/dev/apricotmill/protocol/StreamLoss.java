package dev.apricotmill.protocol;

/** How a stream ended without its final response. */
public enum StreamLoss {
  /** The peer cannot have got the whole request, or said that it did not act on it. */
  NOT_SENT,
  /** The connection was lost after the whole request may have reached the peer. */
  LOST
}
