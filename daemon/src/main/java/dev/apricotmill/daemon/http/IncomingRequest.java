package dev.apricotmill.daemon.http;

import com.google.common.collect.ImmutableMap;
import java.util.Arrays;
import java.util.Optional;

/**
 * A request that was read whole.
 *
 * @param method the HTTP method
 * @param path the path with its query, as it was sent
 * @param headers the headers with lower-case names; values of repeated ones are joined by commas
 * @param body the body, empty if none; not to be modified
 */
@SuppressWarnings("ArrayRecordComponent")
public record IncomingRequest(
    String method, String path, ImmutableMap<String, String> headers, byte[] body) {

  /** Returns a header by its lower-case name. */
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
