package dev.apricotmill.coordination.follow;

/** Why a peer is not asked for some time. */
public enum PeerFault {
  /** It did not answer in time. */
  SILENT,
  /** It answered, but what it knows is too old. */
  BEHIND
}
