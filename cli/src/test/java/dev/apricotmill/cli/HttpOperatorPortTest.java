package dev.apricotmill.cli;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.Iterables;
import com.google.common.io.Closer;
import dev.apricotmill.cli.command.OperatorAnswer;
import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.testhelpers.http.MalformedResponses;
import dev.apricotmill.testhelpers.http.ScriptedConnectionServer;
import dev.apricotmill.testhelpers.http.UnusualResponses;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against answers of an operators' port that are broken and are shown as the daemon's. */
@Timeout(60)
final class HttpOperatorPortTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(10);
  private static final String BODY = "0123456789";
  private static final String SOUND =
      "HTTP/1.1 200 OK\r\nContent-Length: 10\r\nConnection: keep-alive\r\n\r\n" + BODY;

  private final Closer closer = Closer.create();
  private final HttpConnections connections = HttpConnections.open();
  private ScriptedConnectionServer daemon;
  private volatile String response = "";

  @BeforeEach
  void start() throws IOException {
    closer.register(connections::close);
    daemon = ScriptedConnectionServer.start(this::serve);
    closer.register(daemon::close);
  }

  @AfterEach
  void stop() throws IOException {
    closer.close();
  }

  private void serve(Socket connection) throws IOException {
    String unused = ScriptedConnectionServer.readHead(connection);
    ScriptedConnectionServer.write(connection, response);
  }

  private OperatorAnswer get(String nextResponse) throws Exception {
    response = nextResponse;
    return await(connections.operatorPort().get(daemon.address(), "/status", TIMEOUT));
  }

  private static OperatorAnswer await(CompletionStage<OperatorAnswer> stage) throws Exception {
    return stage.toCompletableFuture().get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
  }

  @Test
  void aMalformedAnswerIsNone() throws Exception {
    for (String fields :
        Iterables.concat(
            MalformedResponses.lengths(),
            MalformedResponses.transferCodings(),
            MalformedResponses.linesWithoutField(),
            MalformedResponses.someFieldsWithInvalidNames("Content-Length", "10"))) {
      assertWithMessage(fields)
          .that(get("HTTP/1.1 200 OK\r\n" + fields + "\r\n\r\n" + BODY))
          .isEqualTo(new OperatorAnswer.NoAnswer());
    }
  }

  @Test
  void anAnswerWithAMalformedStatusLineIsNone() throws Exception {
    for (String line : MalformedResponses.statusLines()) {
      assertWithMessage(line)
          .that(get(line + "\r\nContent-Length: 10\r\n\r\n" + BODY))
          .isEqualTo(new OperatorAnswer.NoAnswer());
    }
  }

  @Test
  void anAnswerWithAMalformedSizeOfAChunkIsNone() throws Exception {
    for (String size : MalformedResponses.chunkSizes()) {
      assertWithMessage(size)
          .that(
              get(
                  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                      + size
                      + "\r\n01234\r\n0\r\n\r\n"))
          .isEqualTo(new OperatorAnswer.NoAnswer());
    }
  }

  @Test
  void anAnswerThatIsCutIsNone() throws Exception {
    for (int length = 0; length < SOUND.length(); length++) {
      assertWithMessage("%s bytes", length)
          .that(get(SOUND.substring(0, length)))
          .isEqualTo(new OperatorAnswer.NoAnswer());
    }
  }

  @Test
  void aCallDoesNotUseTheConnectionOfAnother() throws Exception {
    for (int call = 1; call <= 3; call++) {
      assertThat(get(SOUND)).isEqualTo(new OperatorAnswer.Answered(200, BODY));
      assertThat(daemon.connections()).isEqualTo(call);
    }
  }

  @Test
  void anUnusualAnswerIsReturnedWhole() throws Exception {
    for (String unusual : UnusualResponses.all("X-Own: v\r\n")) {
      OperatorAnswer answer = get(unusual);

      assertWithMessage(unusual).that(answer).isInstanceOf(OperatorAnswer.Answered.class);
      assertWithMessage(unusual)
          .that(((OperatorAnswer.Answered) answer).body())
          .isEqualTo(UnusualResponses.BODY);
    }
  }

  @Test
  void aDaemonThatDoesNotListenIsUnreachable() throws Exception {
    PeerAddress unused;
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      unused = new PeerAddress(socket.getInetAddress().getHostAddress(), socket.getLocalPort());
    }

    assertThat(await(connections.operatorPort().post(unused, "/drain", TIMEOUT)))
        .isEqualTo(new OperatorAnswer.Unreachable());
  }
}
