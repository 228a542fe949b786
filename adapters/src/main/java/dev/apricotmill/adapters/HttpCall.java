package dev.apricotmill.adapters;

import com.google.common.collect.ImmutableMap;
import org.apache.hc.core5.http.ContentType;

/**
 * A request to be sent.
 *
 * @param method the HTTP method
 * @param path the path and query
 * @param headers the headers, without those of connection and body
 * @param contentType the type of the body
 * @param body the body, empty if none
 */
@SuppressWarnings("ArrayRecordComponent")
record HttpCall(
    String method,
    String path,
    ImmutableMap<String, String> headers,
    ContentType contentType,
    byte[] body) {

  private static final byte[] NO_BODY = {};

  static HttpCall get(String path) {
    return new HttpCall("GET", path, ImmutableMap.of(), ContentType.APPLICATION_JSON, NO_BODY);
  }

  static HttpCall post(String path, byte[] json) {
    return new HttpCall("POST", path, ImmutableMap.of(), ContentType.APPLICATION_JSON, json);
  }
}
