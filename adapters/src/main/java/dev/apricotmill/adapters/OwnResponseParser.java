package dev.apricotmill.adapters;

import java.io.IOException;
import java.util.Optional;
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
 * </ul>
 */
final class OwnResponseParser implements NHttpMessageParser<HttpResponse> {

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
    return response;
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
