package dev.apricotmill.daemon.callers;

import dev.apricotmill.core.outcome.RefusalReason;

/** Why the public HTTP API refuses a request that was received completely. */
enum ClientError {
  /** The body is not JSON. */
  NOT_JSON(RefusalReason.MALFORMED, 400, "the body is not valid JSON"),
  /** A field is missing, has the wrong type or is out of range. */
  WRONG_FIELDS(RefusalReason.MALFORMED, 400, "the body lacks a field or has one out of range"),
  /** The time limit is not a number of seconds, or is out of range. */
  BAD_TIME_LIMIT(
      RefusalReason.MALFORMED,
      400,
      "Request-Timeout must be a number of seconds above 0 and within the daemon's maximum"),
  /** The idempotency key is empty, too long or has characters that are not visible ASCII. */
  BAD_KEY(RefusalReason.MALFORMED, 400, "Idempotency-Key must have 1 to 255 visible characters"),
  /** The path of a plain service is not canonical. */
  BAD_PATH(RefusalReason.MALFORMED, 400, "the path is not in normal form"),
  /** No API is served under the path. */
  NO_SUCH_PATH(RefusalReason.UNKNOWN_SERVICE, 404, "nothing is served under this path"),
  /** The path does not allow the method. */
  WRONG_METHOD(RefusalReason.MALFORMED, 405, "the path takes another method");

  private final RefusalReason reason;
  private final int status;
  private final String detail;

  ClientError(RefusalReason reason, int status, String detail) {
    this.reason = reason;
    this.status = status;
    this.detail = detail;
  }

  /** Returns the reason for the refused outcome. */
  RefusalReason reason() {
    return reason;
  }

  /** Returns the HTTP status of the response. */
  int status() {
    return status;
  }

  /** Returns the explanation for the caller. */
  String detail() {
    return detail;
  }
}
