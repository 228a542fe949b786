package dev.apricotmill.coordination.follow;

/** Why a peer is not polled for some time. */
public enum PeerFault {
  /** Nothing of a response arrived in time. */
  SILENT,
  /** A response was still arriving when the time ran out. */
  INCOMPLETE,
  /** The peer responded, but its content is too stale. */
  BEHIND
}
