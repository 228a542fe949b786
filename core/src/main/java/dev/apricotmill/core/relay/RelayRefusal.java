package dev.apricotmill.core.relay;

/** Why a request ends without a backend server's answer, with the HTTP status that says so. */
public enum RelayRefusal {
  /** No route matches the request. */
  NO_ROUTE(404, Guarantee.NOT_RUN),
  /** The request has no key of a customer. */
  UNKNOWN_KEY(401, Guarantee.NOT_RUN),
  /** The node knows no configuration yet, or is not sure that what it knows is still in force. */
  CONFIGURATION_UNKNOWN(503, Guarantee.NOT_RUN),
  /** No backend server of the service takes requests. */
  NO_SERVER(503, Guarantee.NOT_RUN),
  /** Every backend server of the service is full. */
  OVERLOADED(503, Guarantee.NOT_RUN),
  /** The request's time ran out before it was sent to a backend server. */
  EXPIRED_UNSENT(503, Guarantee.NOT_RUN),
  /** The backend server refused the request, and it may not be sent to another one. */
  REFUSED_BY_SERVER(503, Guarantee.NOT_RUN),
  /** The node has been told to stop. */
  STOPPING(503, Guarantee.NOT_RUN),
  /** The connection to the backend server broke after the request was sent. */
  BROKEN(502, Guarantee.NONE),
  /** The request's time ran out after it was sent. */
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

  /** Returns the HTTP status of the answer. */
  public int status() {
    return status;
  }

  /** Returns whether the refusal promises that no backend server ran the request or will. */
  public boolean guaranteesNotRun() {
    return guarantee == Guarantee.NOT_RUN;
  }

  /** Returns whether the same request may succeed later. */
  public boolean isRetryable() {
    return status == 503;
  }
}
