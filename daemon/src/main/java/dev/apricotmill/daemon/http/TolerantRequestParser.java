package dev.apricotmill.daemon.http;

import java.io.IOException;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.MessageConstraintException;
import org.apache.hc.core5.http.RequestHeaderFieldsTooLargeException;
import org.apache.hc.core5.http.nio.NHttpMessageParser;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.jspecify.annotations.Nullable;

/** Turns heads that the library's parser refuses into {@link FaultyRequest}s. */
final class TolerantRequestParser implements NHttpMessageParser<HttpRequest> {

  private final NHttpMessageParser<HttpRequest> parser;
  private boolean faulty;

  TolerantRequestParser(NHttpMessageParser<HttpRequest> parser) {
    this.parser = parser;
  }

  @Override
  public void reset() {
    parser.reset();
  }

  @Override
  public @Nullable HttpRequest parse(SessionInputBuffer input, boolean endOfStream)
      throws IOException {
    if (faulty) {
      return null;
    }
    try {
      return parser.parse(input, endOfStream);
    } catch (MessageConstraintException | RequestHeaderFieldsTooLargeException e) {
      return fault(EdgeFault.HEADER_TOO_LARGE);
    } catch (HttpException e) {
      return fault(EdgeFault.NOT_HTTP);
    }
  }

  private HttpRequest fault(EdgeFault fault) {
    faulty = true;
    return new FaultyRequest(fault);
  }
}
