package dev.apricotmill.adapters;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableMap;
import com.google.common.io.ByteStreams;
import dev.apricotmill.coordination.membership.PeerAddress;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.hc.core5.http.HttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

final class StreamedExchangeTest {

  private static final int BODY_BYTES = 4 << 20;

  private final AdapterFixture fixture = new AdapterFixture();
  private final AtomicLong read = new AtomicLong();
  private final AtomicBoolean whole = new AtomicBoolean();

  @AfterEach
  void close() throws Exception {
    fixture.close();
  }

  @Test
  void anExchangeThatIsHeldReadsNoMoreThanAWindowAndGoesOnAfterwards()
      throws IOException, TimeoutException, InterruptedException {
    StreamedExchange exchange =
        fixture.clients().stream(
            longAnswer(),
            new HttpCall("GET", "/", ImmutableMap.of(), null, new byte[0]),
            new Counter(),
            Duration.ofMinutes(1));
    exchange.hold();
    AdapterFixture.awaitUntil(() -> read.get() > 0);
    long before;
    do {
      before = read.get();
      Thread.sleep(100);
    } while (read.get() > before);

    // What was on its way when the exchange was held may be one window more.
    assertThat(read.get()).isAtMost(3L * HttpClients.STREAM_WINDOW_BYTES);
    assertThat(whole.get()).isFalse();

    exchange.resume();
    AdapterFixture.awaitUntil(whole::get);
    assertThat(read.get()).isEqualTo(BODY_BYTES);
  }

  /** Serves one answer that is longer than the buffers of a connection. */
  private PeerAddress longAnswer() throws IOException {
    InetAddress loopback = InetAddress.getLoopbackAddress();
    ServerSocket server = new ServerSocket(0, 1, loopback);
    fixture.closeAtEnd(server);
    Thread thread =
        new Thread(
            () -> {
              try (Socket socket = server.accept();
                  OutputStream output = socket.getOutputStream()) {
                output.write(
                    ("HTTP/1.1 200 OK\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
                output.write(new byte[BODY_BYTES]);
                ByteStreams.exhaust(socket.getInputStream());
              } catch (IOException e) {
                // The test has ended.
              }
            });
    thread.setDaemon(true);
    thread.start();
    return new PeerAddress(loopback.getHostAddress(), server.getLocalPort());
  }

  private final class Counter implements StreamedListener {

    @Override
    public void onHead(HttpResponse head) {}

    @Override
    public void onBody(byte[] piece) {
      read.addAndGet(piece.length);
    }

    @Override
    public void onWhole() {
      whole.set(true);
    }

    @Override
    public void onFailure(boolean sent, ExchangeFailure failure) {}
  }
}
