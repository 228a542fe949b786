package dev.apricotmill.daemon.http;

/** What was wrong with a request that was never handed to a handler. */
public enum EarlyRefusal {
  /** The header is larger than the limit. */
  HEADER_TOO_LARGE(431, "the header is larger than the limit"),
  /** The body is larger than the limit. */
  BODY_TOO_LARGE(413, "the body is larger than the limit"),
  /** The request did not come whole in time. */
  TOO_SLOW(408, "the request did not come whole in time"),
  /** The request breaks the rules of HTTP. */
  NOT_HTTP(400, "the request breaks the rules of HTTP"),
  /** Other requests fill the memory for bodies. */
  NO_BUFFER(503, "other requests fill the memory for bodies"),
  /** There are as many connections as allowed. */
  TOO_MANY_CONNECTIONS(503, "there are as many connections as allowed");

  private final int status;
  private final String detail;

  EarlyRefusal(int status, String detail) {
    this.status = status;
    this.detail = detail;
  }

  /** Returns the HTTP status of the answer. */
  public int status() {
    return status;
  }

  /** Returns the explanation for the caller. */
  public String detail() {
    return detail;
  }

  /** Returns whether the same request can succeed later. */
  public boolean retryable() {
    return status == 503;
  }
}
