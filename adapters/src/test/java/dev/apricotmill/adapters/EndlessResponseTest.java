package dev.apricotmill.adapters;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableMap;
import dev.apricotmill.coordination.membership.PeerAddress;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.apache.hc.core5.http.HttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against servers that use up memory with bytes without end where no body is expected. */
final class EndlessResponseTest {

  private static final HttpCall GET =
      new HttpCall("GET", "/", ImmutableMap.of(), null, new byte[0]);
  private static final String CHUNKED =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n";

  /** What the client may read of one place, with what was in transit when it gave up. */
  private static final int MAX_WRITTEN_BYTES = 256 << 10;

  private static final int GIVE_UP_BYTES = 4 << 20;
  private static final int BUFFER_BYTES = 1 << 20;
  private static final HttpClientSettings SMALL_BUFFERS =
      new HttpClientSettings(1, 8, 16, Duration.ofSeconds(10), Duration.ofMinutes(1), BUFFER_BYTES);
  private static final String LONG_LINE = "X-Long: " + "x".repeat(4_000) + "\r\n";

  private final AdapterFixture fixture = new AdapterFixture();

  @AfterEach
  void close() throws IOException {
    fixture.close();
  }

  @Test
  void headersWithoutEndAreMalformed() throws Exception {
    assertGivenUp("HTTP/1.1 200 OK\r\n", LONG_LINE);
  }

  @Test
  void aHeaderLineWithoutEndIsMalformed() throws Exception {
    assertGivenUp("HTTP/1.1 200 OK\r\nX-Long: ", "x".repeat(4_000));
  }

  @Test
  void interimResponsesWithoutEndAreMalformed() throws Exception {
    assertGivenUp("", "HTTP/1.1 103 Early Hints\r\n" + LONG_LINE + "\r\n");
  }

  @Test
  void aChunkSizeWithoutEndIsMalformed() throws Exception {
    assertGivenUp(CHUNKED, "0".repeat(4_000));
  }

  @Test
  void trailersWithoutEndAreMalformed() throws Exception {
    assertGivenUp(CHUNKED + "0\r\n", LONG_LINE);
  }

  @Test
  void bytesWithoutEndAfterAResponseCloseTheConnection() throws Exception {
    CompletableFuture<Integer> written = new CompletableFuture<>();
    CompletableFuture<ExchangeFailure> outcome =
        request("HTTP/1.1 204 No Content\r\n\r\n", "x".repeat(4_000), written);

    assertThat(AdapterFixture.await(written)).isAtMost(MAX_WRITTEN_BYTES);
    assertThat(outcome.isCompletedExceptionally()).isFalse();
  }

  /** Guards against bodies that are each within their limit and together use up the memory. */
  @Test
  void bodiesWithoutEndAreBoundedTogether() throws Exception {
    List<CompletableFuture<ExchangeResult>> results = new ArrayList<>();
    List<CompletableFuture<Integer>> allWritten = new ArrayList<>();
    try (HttpClients clients = HttpClients.start(SMALL_BUFFERS, fixture.timing())) {
      for (int i = 0; i < 8; i++) {
        CompletableFuture<Integer> written = new CompletableFuture<>();
        allWritten.add(written);
        PeerAddress server =
            serve("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "x".repeat(4_000), written);
        results.add(clients.send(server, GET, GIVE_UP_BYTES, Duration.ofMinutes(1)));
      }

      for (CompletableFuture<ExchangeResult> result : results) {
        assertThat(AdapterFixture.await(result))
            .isEqualTo(new ExchangeResult.Interrupted(ExchangeFailure.OVERSIZE));
      }
      int sum = 0;
      for (CompletableFuture<Integer> written : allWritten) {
        sum += AdapterFixture.await(written);
      }
      // One after the other is given up as the largest, and the last one takes all of the memory.
      assertThat(sum).isAtMost(3 * BUFFER_BYTES + 8 * MAX_WRITTEN_BYTES);
    }
  }

  private void assertGivenUp(String start, String repeated) throws Exception {
    CompletableFuture<Integer> written = new CompletableFuture<>();
    CompletableFuture<ExchangeFailure> outcome = request(start, repeated, written);

    assertThat(AdapterFixture.await(outcome)).isEqualTo(ExchangeFailure.MALFORMED);
    assertThat(AdapterFixture.await(written)).isAtMost(MAX_WRITTEN_BYTES);
  }

  private CompletableFuture<ExchangeFailure> request(
      String start, String repeated, CompletableFuture<Integer> written) throws IOException {
    CompletableFuture<ExchangeFailure> outcome = new CompletableFuture<>();
    fixture.clients().stream(
        serve(start, repeated, written), GET, new FailureListener(outcome), Duration.ofMinutes(1));
    return outcome;
  }

  /** Serves one request with {@code start} and then {@code repeated} until the client closes. */
  private PeerAddress serve(String start, String repeated, CompletableFuture<Integer> written)
      throws IOException {
    InetAddress loopback = InetAddress.getLoopbackAddress();
    ServerSocket server = new ServerSocket(0, 1, loopback);
    fixture.closeAtEnd(server);
    Thread thread = new Thread(() -> written.complete(serveOne(server, start, repeated)));
    thread.setDaemon(true);
    thread.start();
    return new PeerAddress(loopback.getHostAddress(), server.getLocalPort());
  }

  /** Returns the bytes that were written before the client closed the connection. */
  private static int serveOne(ServerSocket server, String start, String repeated) {
    byte[] block = repeated.getBytes(StandardCharsets.US_ASCII);
    int count = 0;
    try (Socket socket = server.accept()) {
      socket.setSendBufferSize(16 << 10);
      socket.setTcpNoDelay(true);
      OutputStream output = socket.getOutputStream();
      if (socket.getInputStream().read(new byte[4096]) < 0) {
        return count;
      }
      output.write(start.getBytes(StandardCharsets.US_ASCII));
      while (count < GIVE_UP_BYTES) {
        output.write(block);
        count += block.length;
        // Lets the client read what was written, rather than the socket's buffers take it.
        Thread.sleep(1);
      }
    } catch (IOException e) {
      // The client has closed the connection.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return count;
  }

  /** Reports how the exchange failed. */
  private record FailureListener(CompletableFuture<ExchangeFailure> outcome)
      implements StreamedResponseListener {

    @Override
    public boolean onHead(HttpResponse head) {
      return true;
    }

    @Override
    public void onBody(byte[] chunk) {}

    @Override
    public void onComplete() {}

    @Override
    public void onFailure(boolean sent, ExchangeFailure failure) {
      outcome.complete(failure);
    }
  }
}
