package dev.apricotmill.core.outcome;

/** Why it cannot be known whether a request ran. */
public enum UnknownReason {
  /** The daemon to which the request was forwarded fell silent. */
  STEWARD_SILENT,
  /** The back end fell silent after the request may have reached it. */
  BACKEND_SILENT,
  /** The daemon that ran the first request with this key is gone. */
  FIRST_RUNNER_GONE,
  /** The claim may have been written and could not be read back in time. */
  CLAIM_UNRESOLVED;

  /** Returns the HTTP status of the answer. */
  public int status() {
    return 504;
  }
}
