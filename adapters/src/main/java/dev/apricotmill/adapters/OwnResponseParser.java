package dev.apricotmill.adapters;

import java.io.IOException;
import java.util.Optional;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.ProtocolException;
import org.apache.hc.core5.http.nio.NHttpMessageParser;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.jspecify.annotations.Nullable;

/**
 * A parser that returns only what can belong to the open exchange of its connection.
 *
 * <ul>
 *   <li>A late response to an exchange that has ended is skipped as a whole. If its end cannot be
 *       found, it is returned and fails the open exchange.
 *   <li>Any other bytes that come while no exchange is open end the connection. The beginning of a
 *       response would otherwise be completed by the response to the next request, which would get
 *       its status.
 *   <li>A head whose status is outside 100 to 599, or is 101, ends the connection. The library
 *       returns a status of 600 or more as it is, and takes 101 for an interim response, so that
 *       the next response would be returned.
 *   <li>A head that contains the beginning of another one ends the connection too, since such bytes
 *       may still be on their way when the next request is written.
 * </ul>
 */
final class OwnResponseParser implements NHttpMessageParser<HttpResponse> {

  private static final int MAXIMUM_STATUS = 599;

  private final NHttpMessageParser<HttpResponse> parser;
  private final ConnectionExchanges exchanges;
  private final LateResponseListener listener;
  private @Nullable SkippedBody skippedBody;
  private boolean withinHead;
  private @Nullable SessionInputBuffer input;

  /**
   * Creates a parser.
   *
   * @param parser parses each response
   * @param exchanges the exchanges of the connection
   * @param listener receives the responses that are skipped
   */
  OwnResponseParser(
      NHttpMessageParser<HttpResponse> parser,
      ConnectionExchanges exchanges,
      LateResponseListener listener) {
    this.parser = parser;
    this.exchanges = exchanges;
    this.listener = listener;
  }

  @Override
  public void reset() {
    parser.reset();
  }

  @Override
  public @Nullable HttpResponse parse(SessionInputBuffer buffer, boolean endOfStream)
      throws IOException, HttpException {
    input = buffer;
    @Nullable HttpResponse response = parseAfterLateResponses(buffer, endOfStream);
    boolean partial = withinHead || skippedBody != null || buffer.hasData();
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

  private @Nullable HttpResponse parseAfterLateResponses(
      SessionInputBuffer buffer, boolean endOfStream) throws IOException, HttpException {
    while (skipBody(endOfStream)) {
      @Nullable HttpResponse response = parseHead(buffer, endOfStream);
      if (response == null || response.getCode() < HttpStatus.SC_OK) {
        return response;
      }
      Optional<String> lateId = exchanges.takeLateResponse(response);
      Optional<SkippedBody> body = lateId.flatMap(id -> SkippedBody.of(response, buffer));
      if (body.isEmpty()) {
        return response;
      }
      skippedBody = body.get();
      parser.reset();
      listener.onLateResponse(lateId.get(), response.getCode());
    }
    return null;
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
    if (!isPossibleStatus(response.getCode())) {
      throw new ProtocolException("invalid status of a response: " + response.getCode());
    }
    if (containsStatusLine(response)) {
      throw new ProtocolException("a response within the head of a response");
    }
    return response;
  }

  /** Returns whether a response may have the status; no request asks for another protocol (101). */
  private static boolean isPossibleStatus(int status) {
    return status >= HttpStatus.SC_CONTINUE
        && status <= MAXIMUM_STATUS
        && status != HttpStatus.SC_SWITCHING_PROTOCOLS;
  }

  private static boolean containsStatusLine(HttpResponse response) {
    if (StatusLines.isStatusLineIn(response.getReasonPhrase())) {
      return true;
    }
    for (Header header : response.getHeaders()) {
      if (StatusLines.isStatusLineIn(header.getName())
          || StatusLines.isStatusLineIn(header.getValue())) {
        return true;
      }
    }
    return false;
  }

  /** Returns whether the next byte belongs to the head of a response. */
  private boolean skipBody(boolean endOfStream) throws IOException, HttpException {
    SkippedBody body = skippedBody;
    if (body == null) {
      return true;
    }
    if (!body.skip(endOfStream)) {
      return false;
    }
    skippedBody = null;
    return true;
  }
}
