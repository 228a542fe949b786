package dev.apricotmill.core.configuration;

import dev.apricotmill.core.request.ServiceName;
import java.time.Duration;

/**
 * Decides whether matching requests of a service may run, whether they may be repeated, and how
 * long they may take. The first rule that matches a request applies.
 *
 * @param service the service
 * @param method the HTTP method, or {@code *} for all
 * @param pathPrefix the prefix of the path below the service, such as {@code /}
 * @param access whether matching requests may run
 * @param repetition whether matching requests may run twice
 * @param timeLimit the longest time that a matching request may take
 */
public record Rule(
    ServiceName service,
    String method,
    String pathPrefix,
    Access access,
    Repetition repetition,
    Duration timeLimit) {

  /** Returns whether the rule matches a request. */
  public boolean matches(ServiceName requested, String requestedMethod, String path) {
    return service.equals(requested)
        && (method.equals("*") || method.equals(requestedMethod))
        && path.startsWith(pathPrefix);
  }

  /** Whether matching requests may run. */
  public enum Access {
    /** The requests may run. */
    ALLOW,
    /** The requests are refused. */
    DENY
  }

  /** Whether a request may run twice. */
  public enum Repetition {
    /** The request is idempotent and may be retried. */
    IDEMPOTENT,
    /** The request runs at most once and needs an idempotency key. */
    AT_MOST_ONCE
  }
}
