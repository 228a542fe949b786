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
import org.apache.hc.core5.http.HttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

final class StreamedExchangeTest {

  private static final int BODY_BYTES = 4 << 20;

  private static final int PASSING_EXCHANGES = 50;
  private static final HttpCall GET =
      new HttpCall("GET", "/", ImmutableMap.of(), null, new byte[0]);

  private final AdapterFixture fixture = new AdapterFixture();
  private final HttpClients clients =
      HttpClients.start(
          new HttpClientSettings(1, 4, 8, Duration.ofSeconds(10), Duration.ofMinutes(1)),
          fixture.timing());
  private final AtomicLong read = new AtomicLong();
  private final AtomicBoolean whole = new AtomicBoolean();

  @AfterEach
  void close() throws Exception {
    clients.close();
    fixture.close();
  }

  @Test
  void anExchangeThatIsHeldReadsNoMoreThanAWindowAndGoesOnAfterwards() throws Exception {
    StreamedExchange exchange =
        fixture.clients().stream(
            longAnswer(),
            new HttpCall("GET", "/", ImmutableMap.of(), null, new byte[0]),
            new Counter(),
            Duration.ofMinutes(1));
    exchange.pauseReading();
    AdapterFixture.awaitUntil(() -> read.get() > 0);
    // Whatever waits on the held connection would be read while these pass the only I/O thread.
    PeerAddress other = shortAnswers();
    for (int i = 0; i < PASSING_EXCHANGES; i++) {
      AdapterFixture.await(clients.send(other, GET, 1024, Duration.ofMinutes(1)));
    }

    // What was on its way when the exchange was held may be one window more.
    assertThat(read.get()).isAtMost(3L * StreamWindow.BYTES);
    assertThat(whole.get()).isFalse();

    exchange.resumeReading();
    AdapterFixture.awaitUntil(whole::get);
    assertThat(read.get()).isEqualTo(BODY_BYTES);
  }

  /** Serves one answer that is longer than the buffers of a connection. */
  private PeerAddress longAnswer() throws IOException {
    return serve(
        socket -> {
          OutputStream output = socket.getOutputStream();
          output.write(head(BODY_BYTES));
          output.write(new byte[BODY_BYTES]);
          ByteStreams.exhaust(socket.getInputStream());
        });
  }

  /** Answers each request on one connection with an empty body. */
  private PeerAddress shortAnswers() throws IOException {
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

  /** What a server does with its one connection. */
  private interface Conversation {
    void run(Socket socket) throws IOException;
  }

  private PeerAddress serve(Conversation conversation) throws IOException {
    InetAddress loopback = InetAddress.getLoopbackAddress();
    ServerSocket server = new ServerSocket(0, 1, loopback);
    fixture.closeAtEnd(server);
    Thread thread =
        new Thread(
            () -> {
              try (Socket socket = server.accept()) {
                conversation.run(socket);
              } catch (IOException e) {
                // The test has ended.
              }
            });
    thread.setDaemon(true);
    thread.start();
    return new PeerAddress(loopback.getHostAddress(), server.getLocalPort());
  }

  private final class Counter implements StreamedResponseListener {

    @Override
    public void onHead(HttpResponse head) {}

    @Override
    public void onBody(byte[] piece) {
      read.addAndGet(piece.length);
    }

    @Override
    public void onComplete() {
      whole.set(true);
    }

    @Override
    public void onFailure(boolean sent, ExchangeFailure failure) {}
  }
}
