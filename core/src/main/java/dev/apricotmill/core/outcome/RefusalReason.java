package dev.apricotmill.core.outcome;

/** Why a request was refused before it ran. */
public enum RefusalReason {
  /** The request is not well formed. */
  MALFORMED(400, false),
  /** The customer's key is missing or unknown. */
  UNKNOWN_CUSTOMER(401, false),
  /** A rule forbids the request. */
  FORBIDDEN_BY_RULE(403, false),
  /** The service does not exist. */
  UNKNOWN_SERVICE(404, false),
  /** A rule requires an idempotency key and the request has none. */
  KEY_REQUIRED(400, false),
  /** The key is empty, too long, or not of the form that the service requires. */
  KEY_MALFORMED(400, false),
  /** The key was already used with another request. */
  KEY_REUSED(422, false),
  /** The key's creation time is too far in the future. */
  KEY_FROM_FUTURE(400, false),
  /** The body is larger than the limit. */
  TOO_LARGE(413, false),
  /** No group of replicas of the pool can ever hold the prompt in memory. */
  NEVER_FITS(413, false),
  /** The customer is over its limits. */
  OVER_LIMIT(429, true),
  /** The response cannot be completed before the request's deadline. */
  DEADLINE_UNREACHABLE(503, true),
  /** The request's deadline passed while it was queued. */
  EXPIRED(503, true),
  /** No replica that could serve the request is reachable. */
  NO_REPLICA(503, true),
  /** The daemon has reached its limit of open requests. */
  OVERLOADED(503, true),
  /** Claims cannot be recorded because the platform does not answer. */
  CLAIMS_UNAVAILABLE(503, true),
  /** A request with the same identifier is already queued or running at the steward. */
  REQUEST_IN_PROGRESS(409, false),
  /** The daemon is draining before a planned stop. */
  DRAINING(503, true),
  /** The daemon has not yet received the current configuration. */
  NOT_READY(503, true),
  /** The daemon detected that its process had been paused, and dropped its queued requests. */
  DAEMON_PAUSED(503, true),
  /** The back end reported that it did not run the request. */
  REFUSED_BY_BACKEND(503, true);

  private final int status;
  private final boolean retryable;

  RefusalReason(int status, boolean retryable) {
    this.status = status;
    this.retryable = retryable;
  }

  /** Returns the HTTP status of the refusal. */
  public int status() {
    return status;
  }

  /** Returns whether the same request can succeed later. */
  public boolean retryable() {
    return retryable;
  }
}
