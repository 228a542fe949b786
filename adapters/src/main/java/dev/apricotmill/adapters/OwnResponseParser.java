package dev.apricotmill.adapters;

import java.io.IOException;
import java.util.Arrays;
import java.util.regex.Pattern;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.ProtocolException;
import org.apache.hc.core5.http.nio.NHttpMessageParser;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.jspecify.annotations.Nullable;

/**
 * A parser that returns only what can belong to the open exchange of its connection.
 *
 * <ul>
 *   <li>Bytes that come while no exchange is open end the connection. The begin of a response would
 *       otherwise be completed by the response to the next request, which would get its status.
 *   <li>A head that contains the begin of another one ends the connection too, since such bytes may
 *       still be on their way when the next request is written.
 * </ul>
 */
final class OwnResponseParser implements NHttpMessageParser<HttpResponse> {

  private static final Pattern STATUS_LINE = Pattern.compile("HTTP/[0-9.]+ +[0-9]");

  private final NHttpMessageParser<HttpResponse> parser;
  private final ConnectionExchanges exchanges;
  private boolean withinHead;
  private @Nullable SessionInputBuffer input;

  /**
   * Creates a parser.
   *
   * @param parser parses each response
   * @param exchanges the exchanges of the connection
   */
  OwnResponseParser(NHttpMessageParser<HttpResponse> parser, ConnectionExchanges exchanges) {
    this.parser = parser;
    this.exchanges = exchanges;
  }

  @Override
  public void reset() {
    parser.reset();
  }

  @Override
  public @Nullable HttpResponse parse(SessionInputBuffer buffer, boolean endOfStream)
      throws IOException, HttpException {
    input = buffer;
    @Nullable HttpResponse response = parseHead(buffer, endOfStream);
    boolean partial = withinHead || buffer.hasData();
    if (response == null && partial && !exchanges.isOpen()) {
      throw new ProtocolException("bytes that belong to no request");
    }
    return response;
  }

  /** Returns whether bytes have come after the response that was read last. */
  boolean hasUnreadBytes() {
    SessionInputBuffer buffer = input;
    return buffer != null && buffer.hasData();
  }

  private @Nullable HttpResponse parseHead(SessionInputBuffer buffer, boolean endOfStream)
      throws IOException, HttpException {
    int bufferedBefore = buffer.length();
    @Nullable HttpResponse response = parser.parse(buffer, endOfStream);
    if (response == null) {
      withinHead |= buffer.length() < bufferedBefore;
      return null;
    }
    withinHead = false;
    if (containsStatusLine(response)) {
      throw new ProtocolException("a response within the head of a response");
    }
    return response;
  }

  private static boolean containsStatusLine(HttpResponse response) {
    return isStatusLineIn(response.getReasonPhrase())
        || Arrays.stream(response.getHeaders()).anyMatch(OwnResponseParser::containsStatusLine);
  }

  private static boolean containsStatusLine(Header header) {
    return isStatusLineIn(header.getName()) || isStatusLineIn(header.getValue());
  }

  private static boolean isStatusLineIn(@Nullable String text) {
    return text != null && STATUS_LINE.matcher(text).find();
  }
}
