package dev.apricotmill.adapters;

import static com.google.common.truth.Truth.assertThat;
import static dev.apricotmill.adapters.AdapterFixture.TEST_TIMEOUT;
import static dev.apricotmill.adapters.AdapterFixture.await;
import static dev.apricotmill.adapters.AdapterFixture.awaitUntil;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSortedSet;
import dev.apricotmill.coordination.identity.DaemonId;
import dev.apricotmill.coordination.identity.Incarnation;
import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.core.engine.EngineOrder;
import dev.apricotmill.core.engine.EngineRequest;
import dev.apricotmill.core.engine.EngineRole;
import dev.apricotmill.core.engine.GenerationEnd;
import dev.apricotmill.core.engine.OrderResult;
import dev.apricotmill.core.engine.SequenceId;
import dev.apricotmill.core.request.RequestId;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.hc.core5.http.HttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against responses without an identifier that are taken for those to other requests. */
final class UnnamedResponseTest {

  private final AdapterFixture fixture = new AdapterFixture();
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final CompletableFuture<Void> firstConnectionEnded = new CompletableFuture<>();
  private final AtomicInteger connections = new AtomicInteger();
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
  void anOrderIsNotAcceptedByTheSecondResponseToAPoll() throws Exception {
    String refusal = "HTTP/1.1 500 Failed\r\nContent-Length: 2\r\n\r\n{}";
    serve(List.of(response("{}"), response("{}") + refusal), refusal);
    HttpModelEngine engine = new HttpModelEngine(fixture.clients(), address());
    await(engine.load(TEST_TIMEOUT));

    EngineOrder order =
        new EngineOrder(1, "m", "1", ImmutableSortedSet.of(), EngineRole.LONG_PROMPTS);
    assertThat(await(engine.order(order, TEST_TIMEOUT))).isInstanceOf(OrderResult.Unanswered.class);
  }

  @Test
  void aSequenceIsNotTakenForRefusedAfterAStreamAndItsSecondResponse() throws Exception {
    String events =
        "data: {\"id\":\"r-1\",\"choices\":[{\"finish_reason\":\"stop\"}],"
            + "\"usage\":{\"prompt_tokens\":1,\"completion_tokens\":0}}\n\ndata: [DONE]\n\n";
    String stream = response(events);
    String body = "{\"error\":{\"code\":\"not_serving\"}}";
    String refusal = "HTTP/1.1 503 Refused\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    String failure = "HTTP/1.1 500 Failed\r\nContent-Length: 2\r\n\r\n{}";
    serve(List.of(stream, refusal + failure), failure);
    HttpModelEngine engine = new HttpModelEngine(fixture.clients(), address());
    RecordingListener first = new RecordingListener();
    engine.generate(request("r-1"), first);
    assertThat(await(first.end())).isInstanceOf(GenerationEnd.Finished.class);
    await(firstConnectionEnded);

    RecordingListener listener = new RecordingListener();
    engine.generate(request("r-2"), listener);

    assertThat(await(listener.end())).isInstanceOf(GenerationEnd.Broken.class);
  }

  /** The connection has carried no request, so that its first response needs no identifier. */
  @Test
  void aConnectionOfAnEndedExchangeThatSentNothingCountsAsUnused() throws Exception {
    serve(List.of(response("one"), response("two")), response("one"));
    StreamedExchange ended = new StreamedExchange(address(), call("r1"), new IgnoringListener());
    ended.close();
    fixture.clients().start(ended, TEST_TIMEOUT);
    awaitUntil(() -> fixture.clients().idleConnections() == 1);

    ExchangeResult result =
        await(fixture.clients().send(address(), call("r2"), 1024, Duration.ofSeconds(10)));

    assertThat(result).isInstanceOf(ExchangeResult.Response.class);
    assertThat(connections.get()).isEqualTo(1);
  }

  @Test
  void aResponseWhoseViaHeaderNamesAnAddressIsSound() throws Exception {
    serve(List.of("HTTP/1.1 200 OK\r\nVia: HTTP/1.1 10.0.0.7:80\r\nContent-Length: 0\r\n\r\n"), "");

    ExchangeResult result =
        await(fixture.clients().send(address(), HttpCall.get("/"), 1024, Duration.ofSeconds(10)));

    assertThat(result).isInstanceOf(ExchangeResult.Response.class);
  }

  private static HttpCall call(String id) {
    return new HttpCall("GET", "/", ImmutableMap.of(), null, new byte[0])
        .withExchangeId(ExchangeId.namedIn("x-id", id));
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

  private static String response(String body) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
  }

  private void serve(List<String> firstConnection, String others) {
    threads.execute(
        () -> {
          try {
            Socket first = accept();
            threads.execute(
                () -> {
                  serve(first, firstConnection);
                  firstConnectionEnded.complete(null);
                });
            while (true) {
              Socket connection = accept();
              threads.execute(() -> serve(connection, List.of(others, others)));
            }
          } catch (IOException e) {
            // The test has ended.
          }
        });
  }

  private Socket accept() throws IOException {
    Socket connection = server.accept();
    connections.incrementAndGet();
    return connection;
  }

  private static void serve(Socket connection, List<String> responses) {
    try (connection) {
      for (String response : responses) {
        readRequest(connection.getInputStream());
        connection.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
      }
      readRequest(connection.getInputStream());
    } catch (IOException e) {
      // The peer has closed the connection, or the test has ended.
    }
  }

  private static void readRequest(InputStream input) throws IOException {
    StringBuilder received = new StringBuilder();
    while (!received.toString().endsWith("\r\n\r\n")) {
      received.append(readByte(input));
    }
    int length =
        received
            .toString()
            .lines()
            .filter(line -> line.regionMatches(true, 0, "content-length:", 0, 15))
            .mapToInt(line -> Integer.parseInt(line.substring(15).strip()))
            .findFirst()
            .orElse(0);
    for (int i = 0; i < length; i++) {
      readByte(input);
    }
  }

  private static char readByte(InputStream input) throws IOException {
    int next = input.read();
    if (next < 0) {
      throw new IOException("the connection has ended");
    }
    return (char) next;
  }

  private static final class IgnoringListener implements StreamedResponseListener {

    @Override
    public boolean onHead(HttpResponse head) {
      return true;
    }

    @Override
    public void onBody(byte[] chunk) {}

    @Override
    public void onComplete() {}

    @Override
    public void onFailure(boolean sent, ExchangeFailure failure) {}
  }
}
