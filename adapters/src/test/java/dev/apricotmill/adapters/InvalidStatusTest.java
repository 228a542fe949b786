package dev.apricotmill.adapters;

import static com.google.common.truth.Truth.assertWithMessage;
import static dev.apricotmill.adapters.AdapterFixture.await;

import com.google.common.collect.ImmutableMap;
import dev.apricotmill.coordination.identity.DaemonId;
import dev.apricotmill.coordination.identity.Incarnation;
import dev.apricotmill.coordination.time.Deadline;
import dev.apricotmill.core.engine.EngineRequest;
import dev.apricotmill.core.engine.GenerationEnd;
import dev.apricotmill.core.engine.SequenceId;
import dev.apricotmill.core.request.CustomerId;
import dev.apricotmill.core.request.RequestId;
import dev.apricotmill.core.request.ServiceCall;
import dev.apricotmill.core.request.ServiceName;
import dev.apricotmill.core.service.CallResult;
import dev.apricotmill.testhelpers.http.ScriptedConnectionServer;
import java.io.IOException;
import java.net.Socket;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Responses whose status is none of a final response. Guards against their being passed on, and
 * against a later response being taken for theirs.
 */
final class InvalidStatusTest {

  private static final String ID = "r1";
  private static final String ID_HEADER = "apricotmill-request-id";

  /** Statuses that no response may have, and 101, for which no request asks. */
  private static final List<String> INVALID = List.of("000", "099", "101", "600", "999");

  private static final String FINAL =
      "HTTP/1.1 200 OK\r\n" + ID_HEADER + ": " + ID + "\r\nContent-Length: 2\r\n\r\n{}";

  private final AdapterFixture fixture = new AdapterFixture();

  /** What a server does with the connection after its response. */
  private enum Ending {
    KEPT {
      @Override
      void end(Socket connection) throws IOException {
        int unused = connection.getInputStream().read();
      }
    },
    CLOSED {
      @Override
      void end(Socket connection) {}
    },
    RESET {
      @Override
      void end(Socket connection) throws IOException {
        ScriptedConnectionServer.reset(connection);
      }
    };

    abstract void end(Socket connection) throws IOException;
  }

  @AfterEach
  void close() throws IOException {
    fixture.close();
  }

  private static String response(String version, String status, boolean withBody) {
    String head = version + " " + status + " Odd\r\n" + ID_HEADER + ": " + ID + "\r\n";
    return withBody ? head + "Content-Length: 2\r\n\r\n{}" : head + "\r\n";
  }

  private ScriptedConnectionServer serve(String response, Ending ending) throws IOException {
    ScriptedConnectionServer server =
        ScriptedConnectionServer.start(
            connection -> {
              String unused = ScriptedConnectionServer.readHead(connection);
              ScriptedConnectionServer.write(connection, response);
              ending.end(connection);
            });
    fixture.closeAtEnd(server::close);
    return server;
  }

  private CallResult callOf(ScriptedConnectionServer server) throws Exception {
    ServiceCall call =
        new ServiceCall(
            new RequestId(ID),
            new CustomerId("c"),
            new ServiceName("dispatch"),
            "GET",
            "/",
            ImmutableMap.of(),
            new byte[0],
            new Deadline(Long.MAX_VALUE));
    return await(
        new HttpPlainService(fixture.clients())
            .call(AdapterFixture.replicaAt(server.address()), call, Duration.ofMinutes(1)));
  }

  @Test
  void aCallWhoseResponseHasAnInvalidStatusIsLost() throws Exception {
    for (String version : List.of("HTTP/1.1", "HTTP/1.0")) {
      for (String status : INVALID) {
        for (boolean withBody : new boolean[] {false, true}) {
          for (Ending ending : Ending.values()) {
            CallResult result = callOf(serve(response(version, status, withBody), ending));

            assertWithMessage("%s %s, with body %s, %s", version, status, withBody, ending)
                .that(result)
                .isInstanceOf(CallResult.Lost.class);
          }
        }
      }
    }
  }

  /** A library that skips such a response as an interim one would return the next one. */
  @Test
  void aFinalResponseAfterAnInvalidStatusIsNotTaken() throws Exception {
    for (String status : INVALID) {
      CallResult result = callOf(serve(response("HTTP/1.1", status, false) + FINAL, Ending.CLOSED));

      assertWithMessage(status).that(result).isInstanceOf(CallResult.Lost.class);
    }
  }

  /** No status but 200 begins a stream, and a refusal as not run needs a valid status. */
  @Test
  void aSequenceWhoseResponseHasAnInvalidStatusIsBroken() throws Exception {
    EngineRequest request =
        new EngineRequest(
            new SequenceId(new Incarnation(new DaemonId("daemon"), 1), new RequestId(ID), 1),
            "prompt",
            10,
            0,
            Duration.ofSeconds(10),
            0,
            "");
    for (String status : INVALID) {
      for (Ending ending : Ending.values()) {
        RecordingListener listener = new RecordingListener();
        ScriptedConnectionServer server = serve(response("HTTP/1.1", status, true), ending);
        new HttpModelEngine(fixture.clients(), server.address()).generate(request, listener);

        assertWithMessage("%s %s", status, ending)
            .that(await(listener.end()))
            .isInstanceOf(GenerationEnd.Broken.class);
      }
    }
  }

  @Test
  void anInterimResponseIsNoFinalOne() throws Exception {
    for (String status : List.of("100", "102", "103", "199")) {
      for (Ending ending : List.of(Ending.CLOSED, Ending.RESET)) {
        CallResult result = callOf(serve(response("HTTP/1.1", status, false), ending));

        assertWithMessage("%s %s", status, ending).that(result).isInstanceOf(CallResult.Lost.class);
      }
    }
  }

  @Test
  void aFinalResponseAfterAnInterimOneIsTaken() throws Exception {
    for (String status : List.of("100", "102", "103")) {
      CallResult result = callOf(serve(response("HTTP/1.1", status, false) + FINAL, Ending.CLOSED));

      assertWithMessage(status).that(result).isInstanceOf(CallResult.Response.class);
    }
  }
}
