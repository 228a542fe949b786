package dev.apricotmill.adapters;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpResponse;

/** What became of one HTTP exchange. */
sealed interface ExchangeResult {

  /** The whole answer came. */
  @SuppressWarnings("ArrayRecordComponent")
  record Answer(HttpResponse head, byte[] body) implements ExchangeResult {

    int status() {
      return head.getCode();
    }

    boolean isSuccess() {
      return status() / 100 == 2;
    }

    Optional<String> header(String name) {
      return Optional.ofNullable(head.getFirstHeader(name)).map(Header::getValue);
    }

    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }
  }

  /** No byte of the request left, and none will. */
  record NotSent(ExchangeFailure failure) implements ExchangeResult {}

  /** The request may have reached the peer, and no whole answer came. */
  record Interrupted(ExchangeFailure failure) implements ExchangeResult {}
}
