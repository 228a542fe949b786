package dev.apricotmill.adapters;

import com.google.common.base.CharMatcher;
import com.google.common.primitives.Longs;
import java.io.IOException;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HeaderElements;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.HttpVersion;
import org.apache.hc.core5.http.ProtocolException;
import org.apache.hc.core5.http.nio.NHttpMessageParser;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.jspecify.annotations.Nullable;

/**
 * A parser that rejects each head that no response may have, although the library accepts some of
 * them. The connection ends, since it is unknown where such a response ends.
 *
 * <ul>
 *   <li>Its lines must have the syntax of {@link HeadLines}.
 *   <li>Its status must be within 100 to 599 and not 101. The library returns a status of 600 or
 *       more as it is, and takes 101 for an interim response, so that the next response would be
 *       returned.
 *   <li>It must not contain the beginning of another head, since the rest of that may still be on
 *       its way when the next request is written.
 *   <li>It must tell the length of its body in a valid way, or not at all (RFC 9112, section 6).
 * </ul>
 */
final class ResponseHeadParser implements NHttpMessageParser<HttpResponse> {

  private static final int MAXIMUM_STATUS = 599;
  private static final CharMatcher DIGIT = CharMatcher.inRange('0', '9');

  private final NHttpMessageParser<HttpResponse> parser;
  private HeadLines lines = new HeadLines();

  /** Creates a parser that checks what {@code parser} reads and returns. */
  ResponseHeadParser(NHttpMessageParser<HttpResponse> parser) {
    this.parser = parser;
  }

  @Override
  public void reset() {
    parser.reset();
    lines = new HeadLines();
  }

  @Override
  public @Nullable HttpResponse parse(SessionInputBuffer buffer, boolean endOfStream)
      throws IOException, HttpException {
    @Nullable HttpResponse response =
        parser.parse(new LineCheckingBuffer(buffer, lines), endOfStream);
    if (response == null) {
      return null;
    }
    lines = new HeadLines();
    if (!isPossibleStatus(response.getCode())) {
      throw new ProtocolException("invalid status of a response: " + response.getCode());
    }
    if (containsStatusLine(response)) {
      throw new ProtocolException("a response within the head of a response");
    }
    checkLength(response);
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

  private static void checkLength(HttpResponse response) throws ProtocolException {
    Header[] lengths = response.getHeaders(HttpHeaders.CONTENT_LENGTH);
    if (lengths.length > 1 || (lengths.length == 1 && !isLength(lengths[0].getValue()))) {
      throw new ProtocolException("invalid length of a response");
    }
    Header[] codings = response.getHeaders(HttpHeaders.TRANSFER_ENCODING);
    if (codings.length > 1 || (codings.length == 1 && !isChunked(response, codings[0]))) {
      throw new ProtocolException("invalid transfer coding of a response");
    }
  }

  private static boolean isLength(@Nullable String value) {
    if (value == null || value.isEmpty() || !DIGIT.matchesAllOf(value)) {
      return false;
    }
    return Longs.tryParse(value) != null;
  }

  /** Returns whether the coding is chunked, in a version of HTTP that has transfer codings. */
  private static boolean isChunked(HttpResponse response, Header coding) {
    return HeaderElements.CHUNKED_ENCODING.equalsIgnoreCase(coding.getValue())
        && (response.getVersion() == null
            || !response.getVersion().lessEquals(HttpVersion.HTTP_1_0));
  }
}
