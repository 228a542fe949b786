package dev.apricotmill.coordination.follow;

/** Why a peer is not polled for some time. */
public enum PeerFault {
  /** The peer did not respond in time. */
  SILENT,
  /** The peer responded, but its content is too stale. */
  BEHIND
}
