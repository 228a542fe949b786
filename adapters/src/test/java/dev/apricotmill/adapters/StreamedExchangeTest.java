package dev.apricotmill.adapters;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableMap;
import com.google.common.io.ByteStreams;
import dev.apricotmill.coordination.membership.PeerAddress;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.apache.hc.core5.http.HttpResponse;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

final class StreamedExchangeTest {

  private static final int BODY_BYTES = 4 << 20;

  private static final int OTHER_EXCHANGES = 50;

  /** What a request may wait for its final answer, at most, after the time limit of its route. */
  private static final Duration MAX_DELAY = Duration.ofMillis(500);

  private static final HttpCall GET =
      new HttpCall("GET", "/", ImmutableMap.of(), null, new byte[0]);

  private final AdapterFixture fixture = new AdapterFixture();
  private final HttpClients clients =
      HttpClients.start(
          new HttpClientSettings(1, 4, 8, Duration.ofSeconds(10), Duration.ofMinutes(1), 1 << 20),
          fixture.timing());
  private final AtomicLong bytesRead = new AtomicLong();
  private final AtomicBoolean complete = new AtomicBoolean();

  @AfterEach
  void close() throws Exception {
    clients.close();
    fixture.close();
  }

  @Test
  void aPausedExchangeReadsNoMoreThanAWindowAndContinuesWhenResumed() throws Exception {
    StreamedExchange exchange =
        fixture.clients().stream(
            serveLongResponse(),
            new HttpCall("GET", "/", ImmutableMap.of(), null, new byte[0]),
            new ByteCounter(),
            Duration.ofMinutes(1));
    exchange.pauseReading();
    AdapterFixture.awaitUntil(() -> bytesRead.get() > 0);
    // These run on the only I/O thread, which would also read data that waits on the paused
    // connection.
    PeerAddress other = serveEmptyResponses();
    for (int i = 0; i < OTHER_EXCHANGES; i++) {
      AdapterFixture.await(clients.send(other, GET, 1024, Duration.ofMinutes(1)));
    }

    // One more window may have been in transit when reading was paused.
    assertThat(bytesRead.get()).isAtMost(3L * StreamWindow.BYTES);
    assertThat(complete.get()).isFalse();

    exchange.resumeReading();
    AdapterFixture.awaitUntil(complete::get);
    assertThat(bytesRead.get()).isEqualTo(BODY_BYTES);
  }

  /** Guards against an I/O thread that reads one connection for as long as more arrives there. */
  @Test
  void aResponseOfTinyChunksWithoutEndDoesNotKeepOthersWaiting() throws Exception {
    PeerAddress other = serveEmptyResponses();
    StreamedExchange endless =
        clients.stream(serveTinyChunks(), GET, new ByteCounter(), Duration.ofMinutes(1));
    AdapterFixture.awaitUntil(() -> bytesRead.get() > 4L * StreamWindow.BYTES);

    for (int i = 0; i < 3; i++) {
      assertThat(AdapterFixture.await(clients.send(other, GET, 1024, MAX_DELAY)))
          .isInstanceOf(ExchangeResult.Response.class);
    }

    endless.close();
  }

  /** Guards against a response that is read no further although its last pause has ended. */
  @Test
  void aResponseThatIsPausedAndResumedAfterEachChunkIsReadToItsEnd() throws Exception {
    AtomicReference<@Nullable StreamedExchange> exchange = new AtomicReference<>();
    ByteCounter pausing =
        new ByteCounter() {
          @Override
          public void onBody(byte[] chunk) {
            super.onBody(chunk);
            StreamedExchange open = exchange.get();
            if (open != null) {
              open.pauseReading();
              fixture.timing().scheduler().execute(open::resumeReading);
            }
          }
        };

    exchange.set(clients.stream(serveLongResponse(), GET, pausing, Duration.ofMinutes(1)));

    AdapterFixture.awaitUntil(complete::get);
    assertThat(bytesRead.get()).isEqualTo(BODY_BYTES);
  }

  /** Serves chunks of one byte until the client closes the connection. */
  private PeerAddress serveTinyChunks() throws IOException {
    byte[] chunks = "1\r\nx\r\n".repeat(10_000).getBytes(StandardCharsets.US_ASCII);
    return serve(
        socket -> {
          OutputStream output = socket.getOutputStream();
          output.write(
              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                  .getBytes(StandardCharsets.US_ASCII));
          while (true) {
            output.write(chunks);
          }
        });
  }

  /** Serves one response that is larger than the buffers of a connection. */
  private PeerAddress serveLongResponse() throws IOException {
    return serve(
        socket -> {
          OutputStream output = socket.getOutputStream();
          output.write(head(BODY_BYTES));
          output.write(new byte[BODY_BYTES]);
          ByteStreams.exhaust(socket.getInputStream());
        });
  }

  /** Responds to each request on one connection with an empty body. */
  private PeerAddress serveEmptyResponses() throws IOException {
    return serve(
        socket -> {
          BufferedReader requests =
              new BufferedReader(
                  new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
          for (String line = requests.readLine(); line != null; line = requests.readLine()) {
            if (line.isEmpty()) {
              socket.getOutputStream().write(head(0));
            }
          }
        });
  }

  private static byte[] head(int length) {
    return ("HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\n")
        .getBytes(StandardCharsets.US_ASCII);
  }

  /** Serves the single connection of a test server. */
  private interface ConnectionHandler {
    void run(Socket socket) throws IOException;
  }

  private PeerAddress serve(ConnectionHandler handler) throws IOException {
    InetAddress loopback = InetAddress.getLoopbackAddress();
    ServerSocket server = new ServerSocket(0, 1, loopback);
    fixture.closeAtEnd(server);
    Thread thread =
        new Thread(
            () -> {
              try (Socket socket = server.accept()) {
                handler.run(socket);
              } catch (IOException e) {
                // The test has ended.
              }
            });
    thread.setDaemon(true);
    thread.start();
    return new PeerAddress(loopback.getHostAddress(), server.getLocalPort());
  }

  private class ByteCounter implements StreamedResponseListener {

    @Override
    public boolean onHead(HttpResponse head) {
      return true;
    }

    @Override
    public void onBody(byte[] chunk) {
      bytesRead.addAndGet(chunk.length);
    }

    @Override
    public void onComplete() {
      complete.set(true);
    }

    @Override
    public void onFailure(boolean sent, ExchangeFailure failure) {}
  }
}
