package dev.apricotmill.adapters;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static dev.apricotmill.adapters.AdapterFixture.await;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import dev.apricotmill.coordination.membership.PeerAddress;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a late response on an idle connection that the next response completes. */
final class BytesOnIdleConnectionTest {

  private static final String HEAD = "HTTP/1.1 200 OK\r\nx-id: r1\r\n";

  private final AdapterFixture fixture = new AdapterFixture();

  @AfterEach
  void close() throws IOException {
    fixture.close();
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 200 O",
        "HTTP/1.1 200 OK\r\n",
        HEAD + "Content-Length: 4\r\n\r\n",
        HEAD + "Content-Length: 4\r\n\r\nla",
        HEAD + "Transfer-Encoding: chunked\r\n\r\n4\r\nlate\r\n"
      })
  void aConnectionOnWhichAPartOfAResponseComesIsClosed(String part) throws Exception {
    try (ServerSocket server = new ServerSocket(0, 8, InetAddress.getLoopbackAddress())) {
      CompletableFuture<ExchangeResult> result =
          fixture
              .clients()
              .send(
                  new PeerAddress("127.0.0.1", server.getLocalPort()),
                  call("r1"),
                  1024,
                  Duration.ofSeconds(10));
      try (Socket connection = server.accept()) {
        connection.setSoTimeout((int) AdapterFixture.TEST_TIMEOUT.toMillis());
        readRequest(connection.getInputStream());
        write(connection, HEAD + "Content-Length: 0\r\n\r\n");
        await(result);
        write(connection, part);
        assertWithMessage("end of the connection").that(isEnded(connection)).isTrue();
      }
    }
  }

  /** The status line of the next response would be read as a part of the extension. */
  @Test
  void aLateResponseCutShortInAChunkExtensionIsNotCompletedByTheNextResponse() throws Exception {
    String body = "\r\n0\r\n\r\nHTTP/1.1 200 OK\r\nx-id: r2\r\nContent-Length: 4\r\n\r\nlate";
    String headers = "x-id: r2\r\nContent-Length: " + body.length() + "\r\n\r\n";
    String late =
        HEAD + "Transfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(headers.length()) + ";ab";
    PeerAddress server =
        fixture.serve(
            ImmutableList.of(
                HEAD + "Content-Length: 0\r\n\r\n",
                late + "HTTP/1.1 500 Failed\r\n" + headers + body));

    await(fixture.clients().send(server, call("r1"), 1024, Duration.ofSeconds(10)));
    ExchangeResult result =
        await(fixture.clients().send(server, call("r2"), 1024, Duration.ofSeconds(10)));

    if (result instanceof ExchangeResult.Response response) {
      assertThat(response.status()).isEqualTo(500);
    }
  }

  /** Waits for a byte, or the end of the connection. */
  private static boolean isEnded(Socket connection) throws SocketTimeoutException {
    try {
      return connection.getInputStream().read() < 0;
    } catch (SocketTimeoutException e) {
      throw e;
    } catch (IOException reset) {
      return true;
    }
  }

  private static HttpCall call(String id) {
    return new HttpCall("GET", "/", ImmutableMap.of("x-id", id), null, new byte[0])
        .withExchangeId(ExchangeId.namedIn("x-id", id));
  }

  private static void write(Socket connection, String bytes) throws IOException {
    connection.getOutputStream().write(bytes.getBytes(StandardCharsets.US_ASCII));
  }

  private static void readRequest(InputStream input) throws IOException {
    StringBuilder head = new StringBuilder();
    while (!head.toString().endsWith("\r\n\r\n")) {
      head.append((char) input.read());
    }
  }
}
