package dev.apricotmill.daemon.http;

import com.google.common.collect.ImmutableMap;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * A complete HTTP response.
 *
 * @param status the HTTP status
 * @param headers the headers, without framing headers such as content-length
 * @param body the body; must not be modified
 */
@SuppressWarnings("ArrayRecordComponent")
public record CompleteResponse(int status, ImmutableMap<String, String> headers, byte[] body) {

  /** Name of the header for the media type of the body. */
  public static final String CONTENT_TYPE = "content-type";

  /** Returns a response with a UTF-8 text body. */
  public static CompleteResponse text(int status, String contentType, String body) {
    return new CompleteResponse(
        status, ImmutableMap.of(CONTENT_TYPE, contentType), body.getBytes(StandardCharsets.UTF_8));
  }

  /** Returns a copy with the header set; replaces a header of the same name. */
  public CompleteResponse withHeader(String headerName, String value) {
    return new CompleteResponse(
        status,
        ImmutableMap.<String, String>builder()
            .putAll(headers)
            .put(headerName, value)
            .buildKeepingLast(),
        body);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof CompleteResponse that
        && status == that.status
        && headers.equals(that.headers)
        && Arrays.equals(body, that.body);
  }

  @Override
  public int hashCode() {
    return 31 * status + Arrays.hashCode(body);
  }
}
