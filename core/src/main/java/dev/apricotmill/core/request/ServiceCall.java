package dev.apricotmill.core.request;

import com.google.common.collect.ImmutableMap;
import dev.apricotmill.coordination.time.Deadline;
import java.util.Arrays;

/**
 * An admitted call to a plain service.
 *
 * @param id the request's identifier
 * @param customer the customer that made the call
 * @param service the plain service
 * @param method the HTTP method
 * @param path the path and query below the service, beginning with a slash
 * @param headers the headers to forward, with lower-case names
 * @param body the body, empty if there is none; must not be modified
 * @param deadline time by which the response must be complete
 */
@SuppressWarnings("ArrayRecordComponent")
public record ServiceCall(
    RequestId id,
    CustomerId customer,
    ServiceName service,
    String method,
    String path,
    ImmutableMap<String, String> headers,
    byte[] body,
    Deadline deadline) {

  @Override
  public boolean equals(Object other) {
    return other instanceof ServiceCall that
        && id.equals(that.id)
        && customer.equals(that.customer)
        && service.equals(that.service)
        && method.equals(that.method)
        && path.equals(that.path)
        && headers.equals(that.headers)
        && Arrays.equals(body, that.body)
        && deadline.equals(that.deadline);
  }

  @Override
  public int hashCode() {
    return id.hashCode();
  }
}
