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
  private final Observer observer;
  private long headBytes;
  private boolean failed;

  /** What a connection learns from its parser. */
  interface Observer {

    /** Returns whether no request may be read before an earlier one is answered. */
    boolean isPipelineFull();

    /** Called with the size of the head that is not complete yet; false if it may not be held. */
    boolean onUnfinishedHead(long bytes);

    /** Called when the caller has closed its side; the library reports this only to the parser. */
    void onEndOfInput();
  }

  /** Creates the parser of one connection. */
  TolerantRequestParser(NHttpMessageParser<HttpRequest> parser, Observer observer) {
    this.parser = parser;
    this.observer = observer;
  }

  @Override
  public void reset() {
    parser.reset();
  }

  @Override
  public @Nullable HttpRequest parse(SessionInputBuffer input, boolean endOfStream)
      throws IOException {
    if (endOfStream) {
      observer.onEndOfInput();
    }
    if (failed || observer.isPipelineFull()) {
      return null;
    }
    try {
      int bufferedBefore = input.length();
      HttpRequest head = parser.parse(input, endOfStream);
      headBytes = head == null ? headBytes + bufferedBefore - input.length() : 0;
      if (!observer.onUnfinishedHead(head == null ? headBytes + input.length() : 0)) {
        return unparsable(EarlyRefusal.NO_BUFFER);
      }
      return head;
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
