package dev.apricotmill.adapters;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class StatusLinesTest {

  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 500",
        "HTTP/1.1 500 Failed",
        "OHTTP/1.1 500 Failed",
        "a/b HTTP/1.0 200 OK",
        "http/1.1\t500\tFailed",
        "HTTP/2  404 "
      })
  void aProtocolWithAVersionAndAStatusIsAStatusLine(String text) {
    assertThat(StatusLines.isStatusLineIn(text)).isTrue();
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "/",
        "TTP/1.1 500",
        "HTTP/1.1",
        "HTTP/ 500",
        "HTTP/1.1500",
        "HTTP/1.1 50",
        "HTTP/1.1 5000",
        "HTTP/1.1 10.0.0.7:80",
        "text/html",
        "1.1 proxy"
      })
  void anythingElseIsNone(String text) {
    assertThat(StatusLines.isStatusLineIn(text)).isFalse();
  }

  @Test
  void noTextContainsNone() {
    assertThat(StatusLines.isStatusLineIn(null)).isFalse();
  }
}
