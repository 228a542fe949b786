package dev.apricotmill.coordination.membership;

/** The state of one incarnation of a daemon. Later constants take precedence over earlier ones. */
public enum MemberState {
  /** Answers probes. */
  ALIVE(true, true),
  /** Did not answer a probe and has not answered since; any answer ends the suspicion. */
  SUSPECT(true, true),
  /** Draining before a planned stop: finishes its requests and accepts no new ones. */
  LEAVING(false, true),
  /**
   * Did not answer in time. The incarnation is never alive again: a process that resumes must take
   * a higher one.
   */
  DEAD(false, false);

  private final boolean ownsReplicas;
  private final boolean reachable;

  MemberState(boolean ownsReplicas, boolean reachable) {
    this.ownsReplicas = ownsReplicas;
    this.reachable = reachable;
  }

  /** Returns whether the daemon can be chosen as the owner of replicas. */
  public boolean ownsReplicas() {
    return ownsReplicas;
  }

  /** Returns whether the daemon is expected to answer messages. */
  public boolean reachable() {
    return reachable;
  }
}
