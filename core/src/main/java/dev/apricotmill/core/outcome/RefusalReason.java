package dev.apricotmill.core.outcome;

/** Why a request was refused before it ran. */
public enum RefusalReason {
  /** The request is not well formed. */
  MALFORMED(400, false),
  /** The customer's key is missing or unknown. */
  UNKNOWN_CUSTOMER(401, false),
  /** A rule forbids the request. */
  FORBIDDEN_BY_RULE(403, false),
  /** No such service. */
  UNKNOWN_SERVICE(404, false),
  /** A rule requires an idempotency key and the request has none. */
  KEY_REQUIRED(400, false),
  /** The key is empty, too long, or not of the form that the service asks for. */
  KEY_MALFORMED(400, false),
  /** The key was used with another request. */
  KEY_REUSED(422, false),
  /** The key's creation time lies too far ahead. */
  KEY_FROM_FUTURE(400, false),
  /** The body is larger than the limit. */
  TOO_LARGE(413, false),
  /** No group of replicas of the pool can ever hold the prompt. */
  NEVER_FITS(413, false),
  /** The customer is over its limits. */
  OVER_LIMIT(429, true),
  /** The answer cannot come within the request's time. */
  DEADLINE_UNREACHABLE(503, true),
  /** The request's time ran out while it waited. */
  EXPIRED(503, true),
  /** No replica that could serve the request is reachable. */
  NO_REPLICA(503, true),
  /** The daemon has as many open requests as it may hold. */
  OVERLOADED(503, true),
  /** Claims cannot be recorded because the platform gives no answer. */
  CLAIMS_UNAVAILABLE(503, true),
  /** A request with the same identifier is already queued or running at the steward. */
  REQUEST_IN_PROGRESS(409, false),
  /** The daemon drains before a planned stop. */
  DRAINING(503, true),
  /** The daemon has not yet learned the configuration in force. */
  NOT_READY(503, true),
  /** The daemon noticed that it had been paused and dropped what it had queued. */
  DAEMON_PAUSED(503, true),
  /** The back end said that it did not run the request. */
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
