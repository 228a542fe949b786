package dev.apricotmill.adapters;

import com.google.common.collect.ImmutableMap;
import org.apache.hc.core5.http.ContentType;
import org.jspecify.annotations.Nullable;

/**
 * A request to be sent.
 *
 * @param method the HTTP method
 * @param path the path and query
 * @param headers the headers, without those of connection and body length; {@code host} replaces
 *     the peer as the host that the request names
 * @param contentType the type of the body, null if the headers say it
 * @param body the body, empty if none; not to be modified
 */
@SuppressWarnings("ArrayRecordComponent")
public record HttpCall(
    String method,
    String path,
    ImmutableMap<String, String> headers,
    @Nullable ContentType contentType,
    byte[] body) {

  private static final byte[] NO_BODY = {};

  /** Returns a call without a body. */
  public static HttpCall get(String path) {
    return new HttpCall("GET", path, ImmutableMap.of(), ContentType.APPLICATION_JSON, NO_BODY);
  }

  /** Returns a call with a body in JSON. */
  public static HttpCall post(String path, byte[] json) {
    return new HttpCall("POST", path, ImmutableMap.of(), ContentType.APPLICATION_JSON, json);
  }
}
