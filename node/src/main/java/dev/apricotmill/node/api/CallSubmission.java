package dev.apricotmill.node.api;

import com.google.common.collect.ImmutableMap;
import dev.apricotmill.core.request.RequestId;
import dev.apricotmill.core.request.ServiceName;
import java.time.Duration;
import java.util.Arrays;
import java.util.Optional;

/**
 * A caller's call of a plain service, before admission.
 *
 * @param id the identifier that every response carries
 * @param customerKey the caller's API key in plain text, empty if none was given
 * @param service the plain service
 * @param method the HTTP method
 * @param path the path and query below the service's root, beginning with a slash
 * @param headers the headers to forward, with lower-case names
 * @param body the body, empty if none; not to be modified
 * @param timeLimit the caller's time limit, if given
 * @param idempotencyKey the caller's idempotency key, if given
 * @param traceParent the W3C trace context, empty if none
 */
@SuppressWarnings("ArrayRecordComponent")
public record CallSubmission(
    RequestId id,
    String customerKey,
    ServiceName service,
    String method,
    String path,
    ImmutableMap<String, String> headers,
    byte[] body,
    Optional<Duration> timeLimit,
    Optional<String> idempotencyKey,
    String traceParent) {

  @Override
  public boolean equals(Object other) {
    return other instanceof CallSubmission that
        && id.equals(that.id)
        && service.equals(that.service)
        && method.equals(that.method)
        && path.equals(that.path)
        && Arrays.equals(body, that.body);
  }

  @Override
  public int hashCode() {
    return id.hashCode();
  }
}
