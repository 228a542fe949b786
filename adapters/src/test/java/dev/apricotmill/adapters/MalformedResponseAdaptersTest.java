package dev.apricotmill.adapters;

import static com.google.common.truth.Truth.assertWithMessage;
import static dev.apricotmill.adapters.AdapterFixture.TEST_TIMEOUT;
import static dev.apricotmill.adapters.AdapterFixture.await;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Iterables;
import dev.apricotmill.coordination.identity.DaemonId;
import dev.apricotmill.coordination.identity.Incarnation;
import dev.apricotmill.coordination.platform.ObjectKey;
import dev.apricotmill.coordination.platform.Platform;
import dev.apricotmill.coordination.platform.Precondition;
import dev.apricotmill.coordination.platform.ReadResult;
import dev.apricotmill.coordination.platform.WriteResult;
import dev.apricotmill.coordination.time.Deadline;
import dev.apricotmill.core.engine.CancelResult;
import dev.apricotmill.core.engine.EngineFailure;
import dev.apricotmill.core.engine.EngineRequest;
import dev.apricotmill.core.engine.EngineResult;
import dev.apricotmill.core.engine.GenerationEnd;
import dev.apricotmill.core.engine.SequenceId;
import dev.apricotmill.core.request.CustomerId;
import dev.apricotmill.core.request.RequestId;
import dev.apricotmill.core.request.ServiceCall;
import dev.apricotmill.core.request.ServiceName;
import dev.apricotmill.core.service.CallResult;
import dev.apricotmill.testhelpers.http.MalformedResponses;
import dev.apricotmill.testhelpers.http.ScriptedConnectionServer;
import java.io.IOException;
import java.net.Socket;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * What the adapters make of a response whose head is malformed: it tells neither a result nor that
 * a request has not run.
 */
@Timeout(120)
final class MalformedResponseAdaptersTest {

  private static final SequenceId SEQUENCE =
      new SequenceId(new Incarnation(new DaemonId("daemon"), 1), new RequestId("r1"), 1);
  private static final List<String> STATUSES =
      List.of("200 OK", "400 Bad Request", "409 Conflict", "429 Too Many", "503 Unavailable");

  private final AdapterFixture fixture = new AdapterFixture();
  private ScriptedConnectionServer server;
  private volatile String response = "";

  /** A call of an adapter, while its server sends a response that is not to be used. */
  @FunctionalInterface
  private interface Check {
    void run(String description) throws Exception;
  }

  @BeforeEach
  void start() throws IOException {
    server = ScriptedConnectionServer.start(this::serve);
    fixture.closeAtEnd(server::close);
  }

  @AfterEach
  void close() throws IOException {
    fixture.close();
  }

  private void serve(Socket connection) throws IOException {
    String unused = ScriptedConnectionServer.readHead(connection);
    ScriptedConnectionServer.write(connection, response);
    // Closing a connection with unread bytes of a request would reset it.
    connection.shutdownOutput();
    connection.getInputStream().readAllBytes();
  }

  private void forEachMalformedHead(String body, Check check) throws Exception {
    for (String fields :
        Iterables.concat(
            MalformedResponses.lengths(),
            MalformedResponses.transferCodings(),
            MalformedResponses.linesWithoutField(),
            MalformedResponses.someFieldsWithInvalidNames("Content-Length", "10"))) {
      for (String status : STATUSES) {
        response = "HTTP/1.1 " + status + "\r\n" + fields + "\r\n\r\n" + body;
        check.run(response);
      }
    }
  }

  @Test
  void aCallOfAPlainServiceIsLost() throws Exception {
    ServiceCall call =
        new ServiceCall(
            new RequestId("r1"),
            new CustomerId("c"),
            new ServiceName("dispatch"),
            "GET",
            "/",
            ImmutableMap.of(),
            new byte[0],
            new Deadline(Long.MAX_VALUE));
    HttpPlainService service = new HttpPlainService(fixture.clients());
    forEachMalformedHead(
        "{}",
        description ->
            assertWithMessage(description)
                .that(
                    await(
                        service.call(
                            AdapterFixture.replicaAt(server.address()), call, TEST_TIMEOUT)))
                .isInstanceOf(CallResult.Lost.class));
  }

  @Test
  void aSequenceIsBrokenAndNotRefused() throws Exception {
    EngineRequest request =
        new EngineRequest(SEQUENCE, "prompt", 10, 0, Duration.ofSeconds(10), 0, "");
    HttpModelEngine engine = new HttpModelEngine(fixture.clients(), server.address());
    forEachMalformedHead(
        "{\"error\":{\"code\":\"no_memory\"}}",
        description -> {
          RecordingListener listener = new RecordingListener();
          engine.generate(request, listener);
          assertWithMessage(description)
              .that(await(listener.end()))
              .isEqualTo(new GenerationEnd.Broken(EngineFailure.MALFORMED));
        });
  }

  @Test
  void aCallOfAnEngineFails() throws Exception {
    HttpModelEngine engine = new HttpModelEngine(fixture.clients(), server.address());
    forEachMalformedHead(
        "{\"released\":true}",
        description -> {
          assertWithMessage(description)
              .that(await(engine.load(TEST_TIMEOUT)))
              .isEqualTo(new EngineResult.Failure<>(EngineFailure.MALFORMED));
          assertWithMessage(description)
              .that(await(engine.cancel(SEQUENCE, TEST_TIMEOUT)))
              .isEqualTo(CancelResult.UNANSWERED);
        });
  }

  @Test
  void aReadOfThePlatformIsUnavailableAndAWriteIndeterminate() throws Exception {
    ObjectKey key = new ObjectKey("config/head");
    Platform platform = new HttpPlatform(fixture.clients(), server.address());
    forEachMalformedHead(
        "{}",
        description -> {
          assertWithMessage(description)
              .that(await(platform.get(key, TEST_TIMEOUT)))
              .isInstanceOf(ReadResult.Unavailable.class);
          assertWithMessage(description)
              .that(await(platform.put(key, new byte[1], Precondition.absent(), TEST_TIMEOUT)))
              .isInstanceOf(WriteResult.Indeterminate.class);
        });
  }
}
