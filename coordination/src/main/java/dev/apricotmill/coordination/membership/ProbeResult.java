package dev.apricotmill.coordination.membership;

/** The answer to a probe. */
public sealed interface ProbeResult {

  /**
   * The peer answered.
   *
   * @param reply its own view
   */
  record Answered(ProbeMessage reply) implements ProbeResult {}

  /** No answer came in time. */
  record NoAnswer() implements ProbeResult {}
}
