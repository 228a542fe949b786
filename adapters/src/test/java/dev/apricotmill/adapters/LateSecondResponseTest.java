package dev.apricotmill.adapters;

import static com.google.common.truth.Truth.assertThat;
import static dev.apricotmill.adapters.AdapterFixture.TEST_TIMEOUT;
import static dev.apricotmill.adapters.AdapterFixture.await;

import com.google.common.collect.ImmutableMap;
import dev.apricotmill.coordination.identity.DaemonId;
import dev.apricotmill.coordination.identity.Incarnation;
import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.core.engine.EngineRequest;
import dev.apricotmill.core.engine.GenerationEnd;
import dev.apricotmill.core.engine.SequenceId;
import dev.apricotmill.core.request.CustomerId;
import dev.apricotmill.core.request.RequestId;
import dev.apricotmill.core.request.ServiceCall;
import dev.apricotmill.core.request.ServiceName;
import dev.apricotmill.core.service.CallResult;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against a late second response to one call that is taken for the response to the next. */
final class LateSecondResponseTest {

  private final AdapterFixture fixture = new AdapterFixture();
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private ServerSocket server;

  @BeforeEach
  void listen() throws IOException {
    server = new ServerSocket(0, /* backlog= */ 8, InetAddress.getLoopbackAddress());
  }

  @AfterEach
  void close() throws IOException {
    server.close();
    threads.shutdownNow();
    fixture.close();
  }

  @Test
  void aCallOfAPlainServiceDoesNotGetTheResponseToTheCallBefore() throws Exception {
    repeatFirstResponse(response(200, "first"), response(200, "second"));
    assertThat(bodyOf(call("r-1"))).isEqualTo("first");

    CallResult second = call("r-2");

    if (second instanceof CallResult.Response) {
      assertThat(bodyOf(second)).isEqualTo("second");
    } else {
      assertThat(second).isEqualTo(new CallResult.Lost());
    }
  }

  /** Otherwise the sequence goes to another engine while this one runs it and keeps its memory. */
  @Test
  void aSequenceIsNotTakenForRefusedAfterACancellationThatWas() throws Exception {
    repeatFirstResponse(
        response(503, "{\"error\":{\"code\":\"not_serving\"}}"), response(500, "{}"));
    HttpModelEngine engine = new HttpModelEngine(fixture.clients(), address());
    await(engine.cancel(sequence("r-1"), TEST_TIMEOUT));

    RecordingListener listener = new RecordingListener();
    engine.generate(request("r-2"), listener);

    assertThat(await(listener.end())).isInstanceOf(GenerationEnd.Broken.class);
  }

  private CallResult call(String id) throws Exception {
    ServiceCall call =
        new ServiceCall(
            new RequestId(id),
            new CustomerId("c"),
            new ServiceName("dispatch"),
            "GET",
            "/circuits/" + id,
            ImmutableMap.of(),
            new byte[0],
            fixture.timing().deadlineAfter(TEST_TIMEOUT));
    return await(
        new HttpPlainService(fixture.clients())
            .call(AdapterFixture.replicaAt(address()), call, TEST_TIMEOUT));
  }

  private static String bodyOf(CallResult result) {
    return new String(((CallResult.Response) result).body(), StandardCharsets.US_ASCII);
  }

  private static SequenceId sequence(String request) {
    return new SequenceId(new Incarnation(new DaemonId("daemon"), 1), new RequestId(request), 1);
  }

  private static EngineRequest request(String id) {
    return new EngineRequest(sequence(id), "prompt", 10, 0, Duration.ofSeconds(10), 0, "");
  }

  private PeerAddress address() {
    return new PeerAddress("127.0.0.1", server.getLocalPort());
  }

  private static String response(int status, String body) {
    return String.format(
        "HTTP/1.1 %d Status\r\nContent-Length: %d\r\n\r\n%s", status, body.length(), body);
  }

  /**
   * Responds to the first request with {@code first}, and to any other with {@code others}; but the
   * second request on the first connection gets a copy of the first response before its own.
   */
  private void repeatFirstResponse(String first, String others) {
    threads.execute(
        () -> {
          try {
            Socket firstConnection = server.accept();
            threads.execute(() -> serve(firstConnection, first, first + others));
            while (true) {
              Socket connection = server.accept();
              threads.execute(() -> serve(connection, others, others));
            }
          } catch (IOException e) {
            // The test has ended.
          }
        });
  }

  /** Responds to two requests on a connection. */
  private static void serve(Socket connection, String first, String second) {
    try (connection) {
      readRequest(connection.getInputStream());
      write(connection, first);
      readRequest(connection.getInputStream());
      write(connection, second);
      readRequest(connection.getInputStream());
    } catch (IOException e) {
      // The peer has closed the connection, or the test has ended.
    }
  }

  private static void write(Socket connection, String bytes) throws IOException {
    connection.getOutputStream().write(bytes.getBytes(StandardCharsets.US_ASCII));
  }

  private static void readRequest(InputStream input) throws IOException {
    StringBuilder received = new StringBuilder();
    while (!received.toString().endsWith("\r\n\r\n")) {
      received.append(readByte(input));
    }
    int length = contentLength(received.toString());
    for (int i = 0; i < length; i++) {
      readByte(input);
    }
  }

  private static int contentLength(String head) {
    return head.lines()
        .filter(line -> line.regionMatches(true, 0, "content-length:", 0, 15))
        .mapToInt(line -> Integer.parseInt(line.substring(15).strip()))
        .findFirst()
        .orElse(0);
  }

  private static char readByte(InputStream input) throws IOException {
    int next = input.read();
    if (next < 0) {
      throw new IOException("the connection has ended");
    }
    return (char) next;
  }
}
