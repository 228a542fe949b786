package dev.apricotmill.adapters;

import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpResponse;

/**
 * What tells the response to a request from other responses on its connection.
 *
 * <p>A connection carries each identifier once. A server that responds twice to a request gives
 * both responses the same identifier, so that the second one could otherwise be taken for the
 * response to a later request with that identifier.
 *
 * @param header the header in which responses name the identifier of their request
 * @param value the identifier
 * @param named whether responses to this request name it; otherwise they name none
 */
public record ExchangeId(String header, String value, boolean named) {

  /** Returns an identifier that responses name in a header. */
  public static ExchangeId namedIn(String header, String value) {
    return new ExchangeId(header, value, true);
  }

  /**
   * Returns an identifier that responses do not name, while those to other requests may. Such a
   * request goes over a connection that carries nothing else.
   */
  public static ExchangeId notNamedIn(String header, String value) {
    return new ExchangeId(header, value, false);
  }

  /** Returns whether a response names the request with this identifier. */
  boolean isNamedBy(HttpResponse response) {
    Header name = response.getFirstHeader(header);
    return named && name != null && value.equals(name.getValue());
  }

  /** Returns whether a response names no request. */
  boolean isUnnamed(HttpResponse response) {
    return !response.containsHeader(header);
  }
}
