package dev.apricotmill.core.relay;

/** Why a request ends without a response from a backend server, with the HTTP status to return. */
public enum RelayRefusal {
  /** No route matches the request. */
  NO_ROUTE(404, Guarantee.NOT_RUN),
  /** The request carries no valid customer key. */
  UNKNOWN_KEY(401, Guarantee.NOT_RUN),
  /** The node has no configuration yet, or cannot confirm that the one it has is still current. */
  CONFIGURATION_UNKNOWN(503, Guarantee.NOT_RUN),
  /** No backend server of the service accepts requests. */
  NO_SERVER(503, Guarantee.NOT_RUN),
  /** Every backend server of the service is full, or has got what its limit allows. */
  OVERLOADED(503, Guarantee.NOT_RUN),
  /** The backend servers that could run the request want none from this node for a while. */
  SERVERS_PAUSED(503, Guarantee.NOT_RUN),
  /** The request's deadline passed before it was sent to a backend server. */
  EXPIRED_UNSENT(503, Guarantee.NOT_RUN),
  /** The backend server refused the request, and it may not be retried at another one. */
  REFUSED_BY_SERVER(503, Guarantee.NOT_RUN),
  /** A part of the prompt crashes engines. */
  PROMPT_BLOCKED(503, Guarantee.NOT_RUN),
  /** The node is shutting down. */
  STOPPING(503, Guarantee.NOT_RUN),
  /** The connection to the backend server broke after the request was sent. */
  BROKEN(502, Guarantee.NONE),
  /** The request's deadline passed after it was sent. */
  EXPIRED(504, Guarantee.NONE);

  private enum Guarantee {
    NOT_RUN,
    NONE
  }

  private final int status;
  private final Guarantee guarantee;

  RelayRefusal(int status, Guarantee promise) {
    this.status = status;
    this.guarantee = promise;
  }

  /** Returns the HTTP status of the response. */
  public int status() {
    return status;
  }

  /** Returns whether it is guaranteed that no backend server ran the request or will run it. */
  public boolean guaranteesNotRun() {
    return guarantee == Guarantee.NOT_RUN;
  }

  /** Returns whether the same request may succeed later. */
  public boolean isRetryable() {
    return status == 503;
  }
}
