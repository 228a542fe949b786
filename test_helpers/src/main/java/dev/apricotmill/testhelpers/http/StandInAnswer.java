package dev.apricotmill.testhelpers.http;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.collect.ImmutableMap;

/**
 * A whole answer of a stand-in.
 *
 * @param status the HTTP status
 * @param headers the headers, the content type included
 * @param body the body
 */
@SuppressWarnings("ArrayRecordComponent")
public record StandInAnswer(int status, ImmutableMap<String, String> headers, byte[] body) {

  /** Returns an answer in JSON. */
  public static StandInAnswer json(int status, String body) {
    return new StandInAnswer(
        status, ImmutableMap.of("Content-Type", "application/json"), body.getBytes(UTF_8));
  }

  /** Returns an answer in JSON with one more header. */
  public static StandInAnswer json(int status, String body, String header, String value) {
    return new StandInAnswer(
        status,
        ImmutableMap.of("Content-Type", "application/json", header, value),
        body.getBytes(UTF_8));
  }
}
