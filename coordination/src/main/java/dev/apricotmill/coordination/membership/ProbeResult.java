package dev.apricotmill.coordination.membership;

/** The result of a probe. */
public sealed interface ProbeResult {

  /**
   * The peer answered.
   *
   * @param reply the peer's message
   */
  record Answered(ProbeMessage reply) implements ProbeResult {}

  /** No usable response arrived before the timeout. */
  record NoAnswer() implements ProbeResult {}
}
