package dev.apricotmill.daemon.http;

import java.util.Optional;

/** Why the HTTP server refuses a request before the handler sees it. */
public enum EarlyRefusal {
  /** The header exceeds its size limit. */
  HEADER_TOO_LARGE(431, "the header is larger than the limit"),
  /** The body exceeds its size limit. */
  BODY_TOO_LARGE(413, "the body is larger than the limit"),
  /** The request was not received completely within the read timeout. */
  TOO_SLOW(408, "the request did not come whole in time"),
  /** The request is not valid HTTP. */
  NOT_HTTP(400, "the request breaks the rules of HTTP"),
  /** The memory budget for bodies is used up by other requests. */
  NO_BUFFER(503, "other requests fill the memory for bodies"),
  /** The connection limit is reached. */
  TOO_MANY_CONNECTIONS(503, "there are as many connections as allowed");

  private final int status;
  private final String detail;

  EarlyRefusal(int status, String detail) {
    this.status = status;
    this.detail = detail;
  }

  /** Returns the HTTP status of the response. */
  public int status() {
    return status;
  }

  /** Returns the explanation for the caller. */
  public String detail() {
    return detail;
  }

  /** Returns the limit that the client has reached, if it is one. */
  Optional<ClientLimit> limit() {
    return switch (this) {
      case HEADER_TOO_LARGE, BODY_TOO_LARGE -> Optional.of(ClientLimit.SIZE);
      case TOO_SLOW -> Optional.of(ClientLimit.BODY_TIMEOUT);
      case NO_BUFFER -> Optional.of(ClientLimit.MEMORY);
      case TOO_MANY_CONNECTIONS -> Optional.of(ClientLimit.CONNECTIONS);
      case NOT_HTTP -> Optional.empty();
    };
  }

  /** Returns whether the same request can succeed later. */
  public boolean retryable() {
    return status == 503;
  }
}
