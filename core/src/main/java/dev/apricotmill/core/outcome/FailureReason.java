package dev.apricotmill.core.outcome;

/** Why a request failed after it may have started. */
public enum FailureReason {
  /** The back end reported an error. */
  BACKEND_ERROR(502),
  /** The response stream was interrupted and could not be resumed. */
  STREAM_BROKEN(502),
  /** The request's deadline passed while it was running. */
  TIMED_OUT(504),
  /** The response contained a chunk of another request or position. */
  FOREIGN_CHUNK(502),
  /** The caller disconnected. */
  CALLER_GONE(499),
  /** The idempotency key is older than the ledger's key window; its request may have run before. */
  KEY_TOO_OLD(409),
  /** The first request with this key was answered, but its response was too large to store. */
  ANSWER_NOT_KEPT(409);

  private final int status;

  FailureReason(int status) {
    this.status = status;
  }

  /** Returns the HTTP status of the failure. */
  public int status() {
    return status;
  }
}
