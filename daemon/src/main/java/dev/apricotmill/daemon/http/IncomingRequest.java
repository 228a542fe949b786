package dev.apricotmill.daemon.http;

import com.google.common.collect.ImmutableMap;
import java.util.Arrays;
import java.util.Optional;

/**
 * A request that was received completely.
 *
 * @param method the HTTP method
 * @param path the path with its query, as received
 * @param headers the headers with lower-case names; values of repeated headers are joined by commas
 * @param body the body, empty if none; must not be modified
 */
@SuppressWarnings("ArrayRecordComponent")
public record IncomingRequest(
    String method, String path, ImmutableMap<String, String> headers, byte[] body) {

  /** Returns the value of a header; the name must be in lower case. */
  public Optional<String> header(String name) {
    return Optional.ofNullable(headers.get(name));
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof IncomingRequest that
        && method.equals(that.method)
        && path.equals(that.path)
        && headers.equals(that.headers)
        && Arrays.equals(body, that.body);
  }

  @Override
  public int hashCode() {
    return 31 * path.hashCode() + Arrays.hashCode(body);
  }
}
