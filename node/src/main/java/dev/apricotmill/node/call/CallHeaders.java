package dev.apricotmill.node.call;

import com.google.common.collect.ImmutableMap;
import dev.apricotmill.node.api.CallSubmission;

/** Builds the headers of the request to a back end. */
final class CallHeaders {

  private static final String TRACE_PARENT = "traceparent";
  private static final String REQUEST_ID = "apricotmill-request-id";
  private static final String IDEMPOTENCY_KEY = "idempotency-key";

  private CallHeaders() {}

  static ImmutableMap<String, String> forBackend(CallSubmission submission, String traceParent) {
    ImmutableMap.Builder<String, String> headers = ImmutableMap.builder();
    headers.putAll(submission.headers());
    headers.put(REQUEST_ID, submission.id().value());
    submission.idempotencyKey().ifPresent(key -> headers.put(IDEMPOTENCY_KEY, key));
    if (!traceParent.isEmpty()) {
      headers.put(TRACE_PARENT, traceParent);
    }
    return headers.buildKeepingLast();
  }
}
