package dev.apricotmill.cli.fleet;

import dev.apricotmill.cli.command.OperatorAnswer;
import java.util.Optional;

/** What came back from a daemon that was asked for its status. */
public sealed interface DaemonReply {
  /**
   * The daemon told its status.
   *
   * @param status the status
   */
  record Told(DaemonStatus status) implements DaemonReply {}

  /**
   * The daemon told nothing of use.
   *
   * @param reason why
   */
  record Silent(Reason reason) implements DaemonReply {}

  /** Why a daemon told nothing of use. */
  enum Reason {
    /** No connection could be made. */
    UNREACHABLE("cannot be reached"),
    /** The connection broke or the answer did not come in time. */
    NO_ANSWER("gave no answer in time"),
    /** It answered with an error. */
    REFUSED("answered with an error"),
    /** The answer is not a status. */
    MALFORMED("gave an answer that is not a status; is this the operators' port?");

    private final String words;

    Reason(String words) {
      this.words = words;
    }

    /** Returns the reason in words. */
    public String words() {
      return words;
    }
  }

  /** Returns what an answer tells. */
  static DaemonReply of(OperatorAnswer answer) {
    if (answer instanceof OperatorAnswer.Unreachable) {
      return new Silent(Reason.UNREACHABLE);
    }
    if (!(answer instanceof OperatorAnswer.Answered answered)) {
      return new Silent(Reason.NO_ANSWER);
    }
    if (answered.status() / 100 != 2) {
      return new Silent(Reason.REFUSED);
    }
    Optional<DaemonStatus> status = DaemonStatus.parse(answered.body());
    return status.isPresent() ? new Told(status.get()) : new Silent(Reason.MALFORMED);
  }
}
