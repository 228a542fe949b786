package dev.apricotmill.cli.command;

/** The answer of a daemon's operators' port. */
public sealed interface OperatorAnswer {
  /**
   * The daemon answered.
   *
   * @param status the HTTP status
   * @param body the body as text
   */
  record Answered(int status, String body) implements OperatorAnswer {}

  /** No connection could be made; the daemon got nothing. */
  record Unreachable() implements OperatorAnswer {}

  /** The connection broke or the answer did not come in time. */
  record NoAnswer() implements OperatorAnswer {}
}
