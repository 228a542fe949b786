package dev.apricotmill.daemon.callers;

import dev.apricotmill.core.outcome.RefusalReason;

/** Why the callers' port refuses a request that was read whole. */
enum ClientError {
  /** The body is not JSON. */
  NOT_JSON(RefusalReason.MALFORMED, 400, "the body is not valid JSON"),
  /** The body is not an object with the right fields. */
  WRONG_FIELDS(RefusalReason.MALFORMED, 400, "the body lacks a field or has one out of range"),
  /** The time limit is no number of seconds, or out of range. */
  BAD_TIME_LIMIT(
      RefusalReason.MALFORMED,
      400,
      "Request-Timeout must be a number of seconds above 0 and within the daemon's maximum"),
  /** The idempotency key is empty or too long. */
  BAD_KEY(RefusalReason.MALFORMED, 400, "Idempotency-Key must have 1 to 255 visible characters"),
  /** The path of a plain service is not in normal form. */
  BAD_PATH(RefusalReason.MALFORMED, 400, "the path is not in normal form"),
  /** Nothing is served under the path. */
  NO_SUCH_PATH(RefusalReason.UNKNOWN_SERVICE, 404, "nothing is served under this path"),
  /** The path takes another method. */
  WRONG_METHOD(RefusalReason.MALFORMED, 405, "the path takes another method");

  private final RefusalReason reason;
  private final int status;
  private final String detail;

  ClientError(RefusalReason reason, int status, String detail) {
    this.reason = reason;
    this.status = status;
    this.detail = detail;
  }

  /** Returns the reason of the outcome. */
  RefusalReason reason() {
    return reason;
  }

  /** Returns the HTTP status of the answer. */
  int status() {
    return status;
  }

  /** Returns the explanation for the caller. */
  String detail() {
    return detail;
  }
}
