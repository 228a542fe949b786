package dev.apricotmill.adapters;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpResponse;

/** What became of one HTTP exchange. */
public sealed interface ExchangeResult {

  /**
   * The whole answer came.
   *
   * @param head the head
   * @param body the body; not to be modified
   */
  @SuppressWarnings("ArrayRecordComponent")
  record Response(HttpResponse head, byte[] body) implements ExchangeResult {

    /** Returns the HTTP status. */
    public int status() {
      return head.getCode();
    }

    /** Returns whether the status is of the class of successes. */
    public boolean isSuccess() {
      return status() / 100 == 2;
    }

    /** Returns the first header of that name. */
    public Optional<String> header(String name) {
      return Optional.ofNullable(head.getFirstHeader(name)).map(Header::getValue);
    }

    /** Returns the body read as UTF-8. */
    public String text() {
      return new String(body, StandardCharsets.UTF_8);
    }
  }

  /**
   * No byte of the request left, and none will.
   *
   * @param failure why
   */
  record NotSent(ExchangeFailure failure) implements ExchangeResult {}

  /**
   * The request may have reached the peer, and no whole answer came.
   *
   * @param failure why
   */
  record Interrupted(ExchangeFailure failure) implements ExchangeResult {}
}
