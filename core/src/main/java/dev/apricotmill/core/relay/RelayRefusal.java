package dev.apricotmill.core.relay;

/** Why a request ends without a backend server's answer, with the HTTP status that says so. */
public enum RelayRefusal {
  /** No route matches the request. */
  NO_ROUTE(404, Promise.NOT_RUN),
  /** The request has no key of a customer. */
  UNKNOWN_KEY(401, Promise.NOT_RUN),
  /** The node knows no configuration yet, or is not sure that what it knows is still in force. */
  CONFIGURATION_UNKNOWN(503, Promise.NOT_RUN),
  /** No backend server of the service takes requests. */
  NO_SERVER(503, Promise.NOT_RUN),
  /** Every backend server of the service is full. */
  OVERLOADED(503, Promise.NOT_RUN),
  /** The request's time ran out before it was sent to a backend server. */
  EXPIRED_UNSENT(503, Promise.NOT_RUN),
  /** The backend server refused the request, and it may not be sent to another one. */
  REFUSED_BY_SERVER(503, Promise.NOT_RUN),
  /** The node has been told to stop. */
  STOPPING(503, Promise.NOT_RUN),
  /** The connection to the backend server broke after the request was sent. */
  BROKEN(502, Promise.NONE),
  /** The request's time ran out after it was sent. */
  EXPIRED(504, Promise.NONE);

  private enum Promise {
    NOT_RUN,
    NONE
  }

  private final int status;
  private final Promise promise;

  RelayRefusal(int status, Promise promise) {
    this.status = status;
    this.promise = promise;
  }

  /** Returns the HTTP status of the answer. */
  public int status() {
    return status;
  }

  /** Returns whether the refusal promises that no backend server ran the request or will. */
  public boolean promisesNotRun() {
    return promise == Promise.NOT_RUN;
  }

  /** Returns whether the same request may succeed later. */
  public boolean mayComeBack() {
    return status == 503;
  }
}
