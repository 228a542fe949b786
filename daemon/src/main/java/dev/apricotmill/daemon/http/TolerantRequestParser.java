package dev.apricotmill.daemon.http;

import java.io.IOException;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.MessageConstraintException;
import org.apache.hc.core5.http.RequestHeaderFieldsTooLargeException;
import org.apache.hc.core5.http.nio.NHttpMessageParser;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.jspecify.annotations.Nullable;

/** Turns request heads that the library's parser rejects into {@link UnparsableRequest}s. */
final class TolerantRequestParser implements NHttpMessageParser<HttpRequest> {

  private final NHttpMessageParser<HttpRequest> parser;
  private final Runnable onEndOfInput;
  private boolean failed;

  /**
   * Creates the parser of one connection.
   *
   * @param onEndOfInput called when the caller has closed its side; the library reports this only
   *     to the parser
   */
  TolerantRequestParser(NHttpMessageParser<HttpRequest> parser, Runnable onEndOfInput) {
    this.parser = parser;
    this.onEndOfInput = onEndOfInput;
  }

  @Override
  public void reset() {
    parser.reset();
  }

  @Override
  public @Nullable HttpRequest parse(SessionInputBuffer input, boolean endOfStream)
      throws IOException {
    if (endOfStream) {
      onEndOfInput.run();
    }
    if (failed) {
      return null;
    }
    try {
      return parser.parse(input, endOfStream);
    } catch (MessageConstraintException | RequestHeaderFieldsTooLargeException e) {
      return unparsable(EarlyRefusal.HEADER_TOO_LARGE);
    } catch (HttpException e) {
      return unparsable(EarlyRefusal.NOT_HTTP);
    }
  }

  private HttpRequest unparsable(EarlyRefusal refusal) {
    failed = true;
    return new UnparsableRequest(refusal);
  }
}
