package dev.apricotmill.daemon.callers;

/** Header names of the public HTTP API. Request headers are in lower case. */
final class CallerHeaders {

  static final String AUTHORIZATION = "authorization";
  static final String IDEMPOTENCY_KEY = "idempotency-key";
  static final String REQUEST_TIMEOUT = "request-timeout";
  static final String TRACE_PARENT = "traceparent";
  static final String RETRY_AFTER = "Retry-After";
  static final String ALLOW = "Allow";
  static final String REQUEST_ID = "Apricotmill-Request-Id";
  static final String OUTCOME = "Apricotmill-Outcome";
  static final String HOPS = "Apricotmill-Hops";
  static final String REPLAYED = "Apricotmill-Replayed";

  private CallerHeaders() {}
}
