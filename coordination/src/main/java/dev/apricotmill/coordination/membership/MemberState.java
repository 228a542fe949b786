package dev.apricotmill.coordination.membership;

/** What is believed of one life of a daemon; a later constant goes before an earlier one. */
public enum MemberState {
  /** Answers probes. */
  ALIVE(true, true),
  /** Missed a probe and has not answered since; it may still refute this. */
  SUSPECT(true, true),
  /** Drains before a planned stop: finishes its requests and takes no new ones. */
  LEAVING(false, true),
  /** Did not answer in time; this life is over even if its process wakes up. */
  DEAD(false, false);

  private final boolean ownsReplicas;
  private final boolean reachable;

  MemberState(boolean ownsReplicas, boolean reachable) {
    this.ownsReplicas = ownsReplicas;
    this.reachable = reachable;
  }

  /** Returns whether the daemon takes part in the choice of stewards. */
  public boolean ownsReplicas() {
    return ownsReplicas;
  }

  /** Returns whether messages to the daemon are worth sending. */
  public boolean reachable() {
    return reachable;
  }
}
