package dev.apricotmill.adapters;

import com.google.common.collect.ImmutableMap;
import java.util.Optional;
import org.apache.hc.core5.http.ContentType;
import org.jspecify.annotations.Nullable;

/**
 * An HTTP request to be sent.
 *
 * @param method the HTTP method
 * @param path the path and query
 * @param headers the headers, without connection headers and body length; {@code host} overrides
 *     the peer's address in the request's Host header
 * @param contentType the type of the body, null if it is given in the headers
 * @param body the body, empty if none; not to be modified
 * @param exchangeId what tells its response from others; empty if the peer responds once to each
 *     request
 */
@SuppressWarnings("ArrayRecordComponent")
public record HttpCall(
    String method,
    String path,
    ImmutableMap<String, String> headers,
    @Nullable ContentType contentType,
    byte[] body,
    Optional<ExchangeId> exchangeId) {

  private static final byte[] NO_BODY = {};

  /** Creates a request to a peer that responds once to each request. */
  public HttpCall(
      String method,
      String path,
      ImmutableMap<String, String> headers,
      @Nullable ContentType contentType,
      byte[] body) {
    this(method, path, headers, contentType, body, Optional.empty());
  }

  /** Returns this request with what tells its response from others. */
  public HttpCall withExchangeId(ExchangeId id) {
    return new HttpCall(method, path, headers, contentType, body, Optional.of(id));
  }

  /** Returns a GET request without a body. */
  public static HttpCall get(String path) {
    return new HttpCall("GET", path, ImmutableMap.of(), ContentType.APPLICATION_JSON, NO_BODY);
  }

  /** Returns a POST request with a JSON body. */
  public static HttpCall post(String path, byte[] json) {
    return new HttpCall("POST", path, ImmutableMap.of(), ContentType.APPLICATION_JSON, json);
  }
}
