package dev.apricotmill.core.outcome;

/** Why it cannot be known whether a request ran. */
public enum UnknownReason {
  /** The daemon to which the request was forwarded fell silent. */
  STEWARD_SILENT(504),
  /** The back end fell silent after the request may have reached it. */
  BACKEND_SILENT(504),
  /** The daemon that ran the first request with this key is gone. */
  FIRST_RUNNER_GONE(504),
  /** The first request with this key is still being run; a later repeat gets its outcome. */
  FIRST_STILL_RUNNING(409);

  private final int status;

  UnknownReason(int status) {
    this.status = status;
  }

  /** Returns the HTTP status of the answer. */
  public int status() {
    return status;
  }
}
