package dev.apricotmill.testhelpers.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.google.common.collect.ImmutableMap;
import java.io.IOException;
import java.net.URI;
import java.util.Locale;
import java.util.Optional;
import java.util.stream.Stream;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.NameValuePair;
import org.apache.hc.core5.net.URIBuilder;

/**
 * A request as a stand-in sees it.
 *
 * @param method the HTTP method
 * @param target the path and query
 * @param path the decoded path
 * @param query the query parameters
 * @param headers the headers, with lower-case names
 * @param body the body
 */
@SuppressWarnings("ArrayRecordComponent")
public record StandInRequest(
    String method,
    String target,
    String path,
    ImmutableMap<String, String> query,
    ImmutableMap<String, String> headers,
    byte[] body) {

  private static final JsonMapper MAPPER = new JsonMapper();

  static StandInRequest of(HttpRequest head, byte[] body) {
    URI uri = URI.create(head.getRequestUri());
    ImmutableMap.Builder<String, String> headers = ImmutableMap.builder();
    Stream.of(head.getHeaders())
        .forEach(
            header -> headers.put(header.getName().toLowerCase(Locale.ROOT), header.getValue()));
    ImmutableMap.Builder<String, String> query = ImmutableMap.builder();
    for (NameValuePair pair : new URIBuilder(uri).getQueryParams()) {
      query.put(pair.getName(), pair.getValue());
    }
    return new StandInRequest(
        head.getMethod(),
        head.getRequestUri(),
        uri.getPath(),
        query.buildKeepingLast(),
        headers.buildKeepingLast(),
        body);
  }

  /** Returns the body read as JSON, empty if it is not well formed. */
  public Optional<JsonNode> json() {
    try {
      return Optional.of(MAPPER.readTree(body));
    } catch (IOException malformed) {
      return Optional.empty();
    }
  }
}
