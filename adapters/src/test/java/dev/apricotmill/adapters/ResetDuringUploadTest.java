package dev.apricotmill.adapters;

import static com.google.common.truth.Truth.assertThat;
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
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.apache.hc.core5.http.HttpResponse;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * A server that responds to a long upload at once, without a length, sends a part of its body and
 * resets the connection while the upload is still being written. Guards against that part being
 * taken as a complete response.
 */
final class ResetDuringUploadTest {

  /** More than the socket buffers of both sides take. */
  private static final byte[] UPLOAD = new byte[16 << 20];

  private static final String ID = "r1";
  private static final String ID_HEADER = "apricotmill-request-id";
  private static final String PART = "id: 1\ndata: word\n\n";

  private static final List<String> STATUS_LINES = List.of("HTTP/1.1 200 OK", "HTTP/1.0 200 OK");

  private final AdapterFixture fixture = new AdapterFixture();

  @AfterEach
  void close() throws IOException {
    fixture.close();
  }

  private static String response(String statusLine, String body) {
    return statusLine + "\r\n" + ID_HEADER + ": " + ID + "\r\nConnection: close\r\n\r\n" + body;
  }

  /** Serves a response and resets the connection as soon as {@code mayReset} is counted down. */
  private ScriptedConnectionServer resetAfter(String response, CountDownLatch mayReset)
      throws IOException {
    ScriptedConnectionServer server =
        ScriptedConnectionServer.start(
            connection -> {
              String unused = ScriptedConnectionServer.readHead(connection);
              ScriptedConnectionServer.write(connection, response);
              mayReset.await();
              ScriptedConnectionServer.reset(connection);
            });
    fixture.closeAtEnd(server::close);
    return server;
  }

  private static HttpCall upload() {
    return new HttpCall("POST", "/", ImmutableMap.of(), null, UPLOAD)
        .withExchangeId(ExchangeId.namedIn(ID_HEADER, ID));
  }

  private static CountDownLatch atOnce() {
    return new CountDownLatch(0);
  }

  private static ServiceCall call() {
    return new ServiceCall(
        new RequestId(ID),
        new CustomerId("c"),
        new ServiceName("dispatch"),
        "POST",
        "/",
        ImmutableMap.of(),
        UPLOAD,
        new Deadline(Long.MAX_VALUE));
  }

  @Test
  void aStreamedExchangeFailsWhetherOrNotThePartWasRead() throws Exception {
    for (String statusLine : STATUS_LINES) {
      for (String part : List.of("", PART, PART.repeat(10_000))) {
        for (boolean afterFirstByte : new boolean[] {false, true}) {
          CountDownLatch mayReset = new CountDownLatch(afterFirstByte ? 1 : 0);
          EndListener listener = new EndListener(part.isEmpty() ? mayReset : null, mayReset);
          fixture.clients().stream(
              resetAfter(response(statusLine, part), mayReset).address(),
              upload(),
              listener,
              Duration.ofMinutes(1));

          assertWithMessage("%s, %s bytes, %s", statusLine, part.length(), afterFirstByte)
              .that(await(listener.complete))
              .isFalse();
        }
      }
    }
  }

  /** A caller that reads slowly: nothing of the body is read until the connection was reset. */
  @Test
  void aStreamedExchangeFailsIfTheRestIsReadAfterTheReset() throws Exception {
    for (String statusLine : STATUS_LINES) {
      CountDownLatch mayReset = new CountDownLatch(1);
      EndListener listener = new EndListener(mayReset, mayReset);
      StreamedExchange exchange =
          fixture.clients().stream(
              resetAfter(response(statusLine, PART.repeat(10_000)), mayReset).address(),
              upload(),
              listener,
              Duration.ofMinutes(1));
      exchange.pauseReading();
      mayReset.await();
      exchange.resumeReading();

      assertWithMessage(statusLine).that(await(listener.complete)).isFalse();
    }
  }

  @Test
  void aBufferedExchangeIsInterrupted() throws Exception {
    for (String statusLine : STATUS_LINES) {
      ExchangeResult result =
          await(
              fixture
                  .clients()
                  .send(
                      resetAfter(response(statusLine, PART), atOnce()).address(),
                      upload(),
                      1 << 20,
                      Duration.ofMinutes(1)));

      assertWithMessage(statusLine).that(result).isInstanceOf(ExchangeResult.Interrupted.class);
    }
  }

  @Test
  void aCallOfAPlainServiceIsLost() throws Exception {
    for (String statusLine : STATUS_LINES) {
      CallResult result =
          await(
              new HttpPlainService(fixture.clients())
                  .call(
                      AdapterFixture.replicaAt(
                          resetAfter(response(statusLine, PART), atOnce()).address()),
                      call(),
                      Duration.ofMinutes(1)));

      assertWithMessage(statusLine).that(result).isInstanceOf(CallResult.Lost.class);
    }
  }

  @Test
  void aStreamOfAnEngineIsBroken() throws Exception {
    String chunk =
        "data: {\"id\":\"r1\",\"choices\":[{\"text\":\"t\",\"finish_reason\":null}],"
            + "\"apricotmill\":{\"position\":0,\"tokens\":1}}\n\n";
    for (String statusLine : STATUS_LINES) {
      for (String part : List.of("", chunk)) {
        RecordingListener listener = new RecordingListener();
        new HttpModelEngine(
                fixture.clients(), resetAfter(response(statusLine, part), atOnce()).address())
            .generate(generation(), listener);

        assertThat(await(listener.end())).isInstanceOf(GenerationEnd.Broken.class);
      }
    }
  }

  private static EngineRequest generation() {
    return new EngineRequest(
        new SequenceId(new Incarnation(new DaemonId("daemon"), 1), new RequestId(ID), 1),
        "x".repeat(UPLOAD.length),
        10,
        0,
        Duration.ofSeconds(10),
        0,
        "");
  }

  private static final class EndListener implements StreamedResponseListener {

    private final CompletableFuture<Boolean> complete = new CompletableFuture<>();
    private final CountDownLatch onHead;
    private final CountDownLatch onBody;

    EndListener(@Nullable CountDownLatch onHead, CountDownLatch onBody) {
      this.onHead = onHead == null ? new CountDownLatch(0) : onHead;
      this.onBody = onBody;
    }

    @Override
    public boolean onHead(HttpResponse head) {
      onHead.countDown();
      return true;
    }

    @Override
    public void onBody(byte[] chunk) {
      onBody.countDown();
    }

    @Override
    public void onComplete() {
      complete.complete(true);
    }

    @Override
    public void onFailure(boolean sent, ExchangeFailure failure) {
      complete.complete(false);
    }
  }
}
