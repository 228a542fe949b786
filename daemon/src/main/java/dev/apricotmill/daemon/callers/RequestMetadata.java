package dev.apricotmill.daemon.callers;

import dev.apricotmill.daemon.http.IncomingRequest;
import dev.apricotmill.daemon.settings.Seconds;
import java.time.Duration;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * The values of a caller's request headers.
 *
 * @param customerKey the bearer token, empty if none
 * @param timeLimit the time limit, if given
 * @param idempotencyKey the idempotency key, if given
 * @param traceParent the W3C trace context, empty if none
 */
record RequestMetadata(
    String customerKey,
    Optional<Duration> timeLimit,
    Optional<String> idempotencyKey,
    String traceParent) {

  private static final String BEARER_PREFIX = "Bearer ";
  private static final Pattern IDEMPOTENCY_KEY = Pattern.compile("[\\x21-\\x7E]{1,255}");
  private static final Pattern TRACE_PARENT =
      Pattern.compile("[0-9a-f]{2}-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}");

  /** Parses the headers; a malformed trace context is ignored. */
  static RequestMetadata read(IncomingRequest request, Duration maximumTimeLimit)
      throws ClientErrorException {
    String authorization = request.header(CallerHeaders.AUTHORIZATION).orElse("");
    String customerKey =
        authorization.regionMatches(true, 0, BEARER_PREFIX, 0, BEARER_PREFIX.length())
            ? authorization.substring(BEARER_PREFIX.length()).strip()
            : "";
    String traceParent =
        request
            .header(CallerHeaders.TRACE_PARENT)
            .filter(text -> TRACE_PARENT.matcher(text).matches())
            .orElse("");
    return new RequestMetadata(
        customerKey, timeLimit(request, maximumTimeLimit), idempotencyKey(request), traceParent);
  }

  private static Optional<Duration> timeLimit(IncomingRequest request, Duration maximum)
      throws ClientErrorException {
    Optional<String> text = request.header(CallerHeaders.REQUEST_TIMEOUT);
    if (text.isEmpty()) {
      return Optional.empty();
    }
    Optional<Duration> limit = Seconds.parse(text.get());
    if (limit.isEmpty() || limit.get().isZero() || limit.get().compareTo(maximum) > 0) {
      throw new ClientErrorException(ClientError.BAD_TIME_LIMIT, "");
    }
    return limit;
  }

  private static Optional<String> idempotencyKey(IncomingRequest request)
      throws ClientErrorException {
    Optional<String> key = request.header(CallerHeaders.IDEMPOTENCY_KEY);
    if (key.isPresent() && !IDEMPOTENCY_KEY.matcher(key.get()).matches()) {
      throw new ClientErrorException(ClientError.BAD_KEY, "");
    }
    return key;
  }
}
