package dev.apricotmill.protocol;

/** Why a stream ended without its final response. */
public enum StreamLoss {
  /** The peer cannot have received the complete request, or reported that it did not act on it. */
  NOT_SENT,
  /** The connection was lost after the complete request may have reached the peer. */
  LOST
}
