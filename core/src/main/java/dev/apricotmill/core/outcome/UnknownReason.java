package dev.apricotmill.core.outcome;

/** Why it is unknown whether a request ran. */
public enum UnknownReason {
  /** The daemon to which the request was forwarded stopped answering. */
  STEWARD_SILENT(504),
  /** The back end stopped answering after the request may have reached it. */
  BACKEND_SILENT(504),
  /** The daemon was stopped while the request may have been running. */
  DAEMON_STOPPED(504),
  /** The daemon that ran the first request with this key is no longer running. */
  FIRST_RUNNER_GONE(504),
  /** The first request with this key is still running; a later retry gets its outcome. */
  FIRST_STILL_RUNNING(409);

  private final int status;

  UnknownReason(int status) {
    this.status = status;
  }

  /** Returns the HTTP status of the response. */
  public int status() {
    return status;
  }
}
