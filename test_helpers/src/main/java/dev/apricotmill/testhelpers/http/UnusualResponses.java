package dev.apricotmill.testhelpers.http;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.google.common.collect.ImmutableList;
import java.util.stream.Stream;

/** Responses that RFC 9110 and RFC 9112 allow, although few servers send the like. */
public final class UnusualResponses {

  /** The body of each response. */
  public static final String BODY = "0123456789";

  private static final String LENGTH = "Content-Length: 10\r\n";
  private static final String CHUNKED = "Transfer-Encoding: chunked\r\n";

  private UnusualResponses() {}

  /**
   * Returns complete responses, after which the server closes the connection.
   *
   * @param field a field that each response bears, with its line end
   */
  public static ImmutableList<String> all(String field) {
    Stream<String> statusLines =
        Stream.of(
                "HTTP/1.1 200",
                "HTTP/1.1 200 ",
                "HTTP/1.1 200 a reason: 5/7 \u00e9\t!",
                "HTTP/1.1  200  OK",
                "HTTP/1.1 299 OK",
                "HTTP/1.0 200 OK")
            .map(line -> line + "\r\n" + field + LENGTH + "\r\n" + BODY);
    Stream<String> fields =
        Stream.of(
                LENGTH,
                "content-length: 10\r\n",
                "CONTENT-LENGTH:10\r\n",
                "Content-Length:\t 10 \t\r\n",
                "Content-Length: 010\r\n",
                "Content-Length: 000000000000000000000000000010\r\n",
                "Connection: close\r\n",
                "X-Empty:\r\nX-Blank:  \t\r\n" + LENGTH,
                "X-Bytes: \u0080\u00e9\u00ff\r\n" + LENGTH,
                "X-Tab: a\tb \"c\" (d) : e, f; g\r\n" + LENGTH,
                "!#$%&'*+-.^_`|~09azAZ: v\r\n" + LENGTH,
                "1: v\r\n-: w\r\n" + LENGTH,
                "X-Twice: a\r\nx-twice: b\r\n" + LENGTH,
                "X-Long: " + "x".repeat(4_000) + "\r\n" + LENGTH)
            .map(lines -> "HTTP/1.1 200 OK\r\n" + field + lines + "\r\n" + BODY);
    Stream<String> chunked =
        Stream.of(
                "a\r\n" + BODY + "\r\n0\r\n\r\n",
                "A\r\n" + BODY + "\r\n000\r\n\r\n",
                "000000000000000000000a\r\n" + BODY + "\r\n0\r\n\r\n",
                "a;a\r\n" + BODY + "\r\n0;b=c\r\n\r\n",
                "a ; a = \"b;c\" ;d\r\n" + BODY + "\r\n0\t;e\r\n\r\n",
                "1\r\n0\r\n009\r\n123456789\r\n0\r\n\r\n",
                "a\n" + BODY + "\n0\n\n",
                "a\r\n" + BODY + "\r\n0\r\nX-Trailer: v\r\n!:\r\nx-trailer: \u00e9\t w\r\n\r\n")
            .map(body -> "HTTP/1.1 200 OK\r\n" + field + CHUNKED + "\r\n" + body);
    Stream<String> codings =
        Stream.of(
                "transfer-encoding:CHUNKED\r\n",
                "Transfer-Encoding: \tChunked \r\n",
                CHUNKED + "Content-Length: 10\r\n")
            .map(
                lines ->
                    "HTTP/1.1 200 OK\r\n" + field + lines + "\r\na\r\n" + BODY + "\r\n0\r\n\r\n");
    Stream<String> interim =
        Stream.of("HTTP/1.1 100\r\n\r\n", "HTTP/1.1 103 Early\r\nLink: </a>; rel=preload\r\n\r\n")
            .map(head -> head + "HTTP/1.1 200 OK\r\n" + field + LENGTH + "\r\n" + BODY);
    Stream<String> lineFeeds =
        Stream.of("HTTP/1.1 200 OK\n" + field.replace("\r", "") + "Content-Length: 10\n\n" + BODY);
    return Stream.of(statusLines, fields, chunked, codings, interim, lineFeeds)
        .flatMap(responses -> responses)
        .collect(toImmutableList());
  }
}
