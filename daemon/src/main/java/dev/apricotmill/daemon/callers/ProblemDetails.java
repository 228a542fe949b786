package dev.apricotmill.daemon.callers;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.base.Ascii;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import dev.apricotmill.core.outcome.Outcome;
import dev.apricotmill.core.outcome.RefusalReason;
import dev.apricotmill.core.request.RequestId;
import dev.apricotmill.daemon.http.CompleteResponse;
import dev.apricotmill.daemon.http.EarlyRefusal;
import java.nio.charset.StandardCharsets;
import java.time.Duration;

/** Builds problem details (RFC 9457) for outcomes without a response from the back end. */
final class ProblemDetails {

  private static final String MEDIA_TYPE = "application/problem+json";
  private static final String TYPE_PREFIX = "urn:apricotmill:problem:";
  private static final Duration OVERLOAD_RETRY_AFTER = Duration.ofSeconds(1);

  private ProblemDetails() {}

  /** Returns the response to a request that was refused, failed or has an unknown outcome. */
  static CompleteResponse of(RequestId request, Outcome outcome, ImmutableList<String> hops) {
    CompleteResponse response =
        response(request, statusOf(outcome), reasonOf(outcome), outcome, titleOf(outcome));
    return hops.isEmpty()
        ? response
        : response.withHeader(CallerHeaders.HOPS, String.join(",", hops));
  }

  /** Returns the response to a request with a client error. */
  static CompleteResponse of(RequestId request, ClientErrorException exception) {
    ClientError error = exception.error();
    String detail =
        exception.location().isEmpty()
            ? error.detail()
            : error.detail() + ": " + exception.location();
    return response(
        request,
        error.status(),
        wireName(error),
        new Outcome.Refused(error.reason(), Duration.ZERO),
        detail);
  }

  /** Returns the response to a request that the HTTP server refuses. */
  static CompleteResponse of(RequestId request, EarlyRefusal refusal) {
    RefusalReason reason = refusal.retryable() ? RefusalReason.OVERLOADED : RefusalReason.MALFORMED;
    Duration retryAfter = refusal.retryable() ? OVERLOAD_RETRY_AFTER : Duration.ZERO;
    return response(
        request,
        refusal.status(),
        wireName(refusal),
        new Outcome.Refused(reason, retryAfter),
        refusal.detail());
  }

  /** Returns the problem as JSON, for a stream that has already started. */
  static ObjectNode body(RequestId request, Outcome outcome) {
    return body(request, statusOf(outcome), reasonOf(outcome), outcome, titleOf(outcome));
  }

  private static CompleteResponse response(
      RequestId request, int status, String reason, Outcome outcome, String detail) {
    ImmutableMap.Builder<String, String> headers =
        ImmutableMap.<String, String>builder()
            .put(CompleteResponse.CONTENT_TYPE, MEDIA_TYPE)
            .put(CallerHeaders.REQUEST_ID, request.value())
            .put(CallerHeaders.OUTCOME, outcome.headerValue());
    if (outcome instanceof Outcome.Refused refused && !refused.retryAfter().isZero()) {
      headers.put(CallerHeaders.RETRY_AFTER, Long.toString(roundUpToSeconds(refused.retryAfter())));
    }
    if (status == 401) {
      headers.put("WWW-Authenticate", "Bearer");
    }
    byte[] json =
        body(request, status, reason, outcome, detail).toString().getBytes(StandardCharsets.UTF_8);
    return new CompleteResponse(status, headers.buildOrThrow(), json);
  }

  private static ObjectNode body(
      RequestId request, int status, String reason, Outcome outcome, String detail) {
    ObjectNode body =
        JsonNodeFactory.instance
            .objectNode()
            .put("type", TYPE_PREFIX + reason)
            .put("title", titleOf(outcome))
            .put("status", status)
            .put("detail", detail)
            .put("outcome", outcome.headerValue())
            .put("reason", reason)
            .put("request_id", request.value());
    if (outcome instanceof Outcome.Refused refused) {
      body.put("retryable", refused.reason().retryable());
      if (!refused.retryAfter().isZero()) {
        body.put("retry_after_seconds", roundUpToSeconds(refused.retryAfter()));
      }
    }
    return body;
  }

  private static int statusOf(Outcome outcome) {
    if (outcome instanceof Outcome.Refused refused) {
      return refused.reason().status();
    }
    if (outcome instanceof Outcome.Failed failed) {
      return failed.reason().status();
    }
    if (outcome instanceof Outcome.Unknown unknown) {
      return unknown.reason().status();
    }
    return ((Outcome.Answered) outcome).status();
  }

  private static String reasonOf(Outcome outcome) {
    if (outcome instanceof Outcome.Refused refused) {
      return wireName(refused.reason());
    }
    if (outcome instanceof Outcome.Failed failed) {
      return wireName(failed.reason());
    }
    return outcome instanceof Outcome.Unknown unknown ? wireName(unknown.reason()) : "answered";
  }

  private static String titleOf(Outcome outcome) {
    if (outcome instanceof Outcome.Refused) {
      return "The request was refused and did not run.";
    }
    return outcome instanceof Outcome.Failed
        ? "The request failed after it may have started."
        : "It is not known whether the request ran.";
  }

  private static String wireName(Enum<?> constant) {
    return Ascii.toLowerCase(constant.name()).replace('_', '-');
  }

  private static long roundUpToSeconds(Duration duration) {
    return duration.plusNanos(999_999_999).toSeconds();
  }
}
