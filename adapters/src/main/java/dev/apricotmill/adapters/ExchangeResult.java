package dev.apricotmill.adapters;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpResponse;

/** The outcome of one HTTP exchange. */
public sealed interface ExchangeResult {

  /**
   * The complete response was received.
   *
   * @param head the status and headers
   * @param body the body; not to be modified
   */
  @SuppressWarnings("ArrayRecordComponent")
  record Response(HttpResponse head, byte[] body) implements ExchangeResult {

    /** Returns the HTTP status. */
    public int status() {
      return head.getCode();
    }

    /** Returns whether the status is 2xx. */
    public boolean isSuccess() {
      return status() / 100 == 2;
    }

    /** Returns the first header with the given name. */
    public Optional<String> header(String name) {
      return Optional.ofNullable(head.getFirstHeader(name)).map(Header::getValue);
    }

    /** Returns the body decoded as UTF-8. */
    public String text() {
      return new String(body, StandardCharsets.UTF_8);
    }
  }

  /**
   * No byte of the request was sent, and none will be.
   *
   * @param failure the cause
   */
  record NotSent(ExchangeFailure failure) implements ExchangeResult {}

  /**
   * The request may have reached the peer, but no complete response was received.
   *
   * @param failure the cause
   */
  record Interrupted(ExchangeFailure failure) implements ExchangeResult {}
}
