package dev.apricotmill.daemon.client;

import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.base.Splitter;
import com.google.common.collect.Iterables;
import com.google.common.collect.Lists;
import dev.apricotmill.daemon.testing.Eventually;
import dev.apricotmill.daemon.testing.RawConnection;
import dev.apricotmill.testhelpers.http.MalformedResponses;
import dev.apricotmill.testhelpers.http.ScriptedConnectionServer;
import dev.apricotmill.testhelpers.http.UnusualResponses;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Responses of plain services that are broken off, have no valid status, or are no valid HTTP/1.1,
 * as a caller of the product's own interface sees them. Guards against their being passed on as
 * complete responses, and against their being taken for a refusal.
 */
@Timeout(120)
final class BrokenServiceResponseTest {

  /** More than the socket buffers of both sides take. */
  private static final int UPLOAD_BYTES = 6 << 20;

  private static final String PART = "part of a body";
  private static final Pattern REQUEST_ID = Pattern.compile("(?i)apricotmill-request-id: *(.*)\r");

  /** What the service does after the line and the header that names the request. */
  private final AtomicReference<ScriptedEnding> ending = new AtomicReference<>();

  private final AtomicInteger calls = new AtomicInteger();
  private ScriptedConnectionServer service;
  private DaemonWithBackends daemon;

  /**
   * How a response goes on after its first header.
   *
   * @param statusLine the status line before that
   * @param rest the rest of the response
   * @param reset whether the connection is reset; otherwise it is closed in order
   */
  private record ScriptedEnding(String statusLine, String rest, boolean reset) {}

  @BeforeEach
  void start() throws Exception {
    service = ScriptedConnectionServer.start(this::serve);
    daemon = DaemonWithBackends.startWithService(service.address());
    Eventually.holds(this::isReady);
  }

  @AfterEach
  void stop() throws Exception {
    daemon.close();
    service.close();
  }

  private void serve(Socket connection) throws IOException {
    Matcher id = REQUEST_ID.matcher(ScriptedConnectionServer.readHead(connection));
    if (!id.find()) {
      return;
    }
    calls.incrementAndGet();
    ScriptedEnding current = ending.get();
    ScriptedConnectionServer.write(
        connection,
        current.statusLine()
            + "\r\napricotmill-request-id: "
            + id.group(1)
            + "\r\n"
            + current.rest());
    if (current.reset()) {
      ScriptedConnectionServer.reset(connection);
    }
  }

  private boolean isReady() {
    try (RawConnection connection = RawConnection.to(daemon.operatorsAddress())) {
      return connection
          .send("GET /ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
          .readToEnd()
          .startsWith("HTTP/1.1 200 ");
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private String call(String request, int bodyBytes) throws IOException {
    try (RawConnection connection = RawConnection.to(daemon.publicAddress())) {
      return connection
          .send(
              request
                  + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\nAuthorization: Bearer "
                  + DaemonWithBackends.CUSTOMER_KEY
                  + "\r\nIdempotency-Key: "
                  + DaemonWithBackends.newTimedKey()
                  + "\r\nContent-Length: "
                  + bodyBytes
                  + "\r\n\r\n"
                  + "x".repeat(bodyBytes))
          .readToEnd();
    }
  }

  /** Calls the service; the response must be one of the daemon that tells of no success. */
  private void assertNotPassedOn(String request, int bodyBytes) throws IOException {
    int before = calls.get();

    String response = call(request, bodyBytes);

    String description = request + " " + ending.get();
    assertWithMessage(description).that(calls.get()).isGreaterThan(before);
    assertWithMessage(description).that(response).containsMatch("^HTTP/1.1 50[0-4] ");
    assertWithMessage(description).that(response).doesNotContain(PART);
    assertWithMessage(description).that(response).doesNotContain("not-run");
  }

  @Test
  void aResponseThatIsResetDuringTheUploadIsNotPassedOn() throws Exception {
    for (String statusLine : List.of("HTTP/1.1 200 OK", "HTTP/1.0 200 OK")) {
      ending.set(
          new ScriptedEnding(statusLine, "Connection: close\r\n\r\n" + PART, /* reset= */ true));

      assertNotPassedOn("POST /services/dispatch/orders/1", UPLOAD_BYTES);
      assertNotPassedOn("GET /services/dispatch/status/1", 0);
    }
  }

  @Test
  void aResponseWithAnInvalidStatusIsNotPassedOn() throws Exception {
    for (String status : List.of("000", "099", "101", "600", "999")) {
      for (boolean reset : new boolean[] {false, true}) {
        ending.set(
            new ScriptedEnding(
                "HTTP/1.1 " + status + " Odd",
                "Content-Length: " + PART.length() + "\r\n\r\n" + PART,
                reset));

        assertNotPassedOn("POST /services/dispatch/orders/1", 2);
      }
    }
  }

  @Test
  void aChunkedResponseThatIsCutAtASizeIsNotPassedOn() throws Exception {
    String chunk = "00e\r\n" + PART + "\r\n";
    for (String cut : List.of("0", "00e", "00e\r\n", chunk, chunk + "0", chunk + "0\r\n")) {
      for (boolean reset : new boolean[] {false, true}) {
        ending.set(
            new ScriptedEnding(
                "HTTP/1.1 200 OK", "Transfer-Encoding: chunked\r\n\r\n" + cut, reset));

        assertNotPassedOn("POST /services/dispatch/orders/1", 2);
      }
    }
  }

  @Test
  void aMalformedResponseIsNotPassedOn() throws Exception {
    String sound = "Content-Length: " + PART.length();
    for (String fields :
        Iterables.concat(
            MalformedResponses.lengths(),
            MalformedResponses.transferCodings(),
            MalformedResponses.someFieldsWithInvalidNames("Content-Length", "10"),
            Lists.transform(
                MalformedResponses.someFieldsWithInvalidNames("X-Other", "v"),
                field -> field + "\r\n" + sound),
            Lists.transform(
                MalformedResponses.linesWithoutField(), line -> line + "\r\n" + sound))) {
      ending.set(
          new ScriptedEnding("HTTP/1.1 200 OK", fields + "\r\n\r\n" + PART, /* reset= */ false));

      assertNotPassedOn("POST /services/dispatch/orders/1", 0);
    }
  }

  @Test
  void aMalformedSizeOfAChunkIsNotPassedOn() throws Exception {
    for (String size : MalformedResponses.chunkSizes()) {
      ending.set(
          new ScriptedEnding(
              "HTTP/1.1 200 OK",
              "Transfer-Encoding: chunked\r\n\r\n" + size + "\r\n01234\r\n0\r\n\r\n",
              /* reset= */ false));

      assertNotPassedOn("POST /services/dispatch/orders/1", 0);
    }
  }

  @Test
  void anUnusualResponseIsPassedOnWhole() throws Exception {
    String marker = "X-Marker: v\r\n";
    for (String unusual : UnusualResponses.all(marker)) {
      List<String> parts = Splitter.on("\r\n" + marker).splitToList(unusual);
      if (parts.size() == 2) {
        // Otherwise the next call may be refused, since it finds its connection closed.
        String rest = "Connection: close\r\n" + parts.get(1);
        ending.set(new ScriptedEnding(parts.get(0), rest, /* reset= */ false));

        String response = call("GET /services/dispatch/status/1", 0);

        assertWithMessage(unusual).that(response).startsWith("HTTP/1.1 2");
        assertWithMessage(unusual).that(response).endsWith("\r\n\r\n" + UnusualResponses.BODY);
      }
    }
  }

  /** Shows that the other tests would see a response that is passed on. */
  @Test
  void aResponseWithoutLengthThatIsClosedInOrderIsPassedOn() throws Exception {
    ending.set(
        new ScriptedEnding(
            "HTTP/1.1 200 OK", "Connection: close\r\n\r\n" + PART, /* reset= */ false));

    // Without a body, since a server that closes before it has read one resets the connection.
    String response = call("GET /services/dispatch/status/1", 0);

    assertWithMessage(response).that(response).startsWith("HTTP/1.1 200 ");
    assertWithMessage(response).that(response).contains(PART);
  }
}
