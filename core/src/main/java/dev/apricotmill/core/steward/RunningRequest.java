package dev.apricotmill.core.steward;

/** A request that holds memory on the replica. Not thread-safe. */
final class RunningRequest {

  private final WaitingRequest origin;
  private Phase phase;
  private long phaseSinceNanos;

  RunningRequest(WaitingRequest origin, Phase phase, long nowNanos) {
    this.origin = origin;
    this.phase = phase;
    this.phaseSinceNanos = nowNanos;
  }

  WaitingRequest origin() {
    return origin;
  }

  Phase phase() {
    return phase;
  }

  long phaseSinceNanos() {
    return phaseSinceNanos;
  }

  void enter(Phase next, long nowNanos) {
    phase = next;
    phaseSinceNanos = nowNanos;
  }

  /** The phase of a running request. */
  enum Phase {
    /** It holds memory as a group member and is not dispatched yet. */
    HELD,
    /** The engine prefills its prompt. */
    PREFILL,
    /** The engine decodes its response. */
    DECODE
  }
}
