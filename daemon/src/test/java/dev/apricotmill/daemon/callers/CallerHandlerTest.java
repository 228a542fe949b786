package dev.apricotmill.daemon.callers;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import dev.apricotmill.core.engine.GenerationEnd.FinishReason;
import dev.apricotmill.core.engine.TokenChunk;
import dev.apricotmill.core.outcome.FailureReason;
import dev.apricotmill.core.outcome.Outcome;
import dev.apricotmill.core.outcome.RefusalReason;
import dev.apricotmill.core.peer.ForwardEnd;
import dev.apricotmill.core.service.CallResult;
import dev.apricotmill.daemon.testing.FakeNode;
import dev.apricotmill.daemon.testing.PublicApiFixture;
import dev.apricotmill.node.api.CallResponse;
import dev.apricotmill.node.api.GenerationResponseEnd;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class CallerHandlerTest {

  private static final ImmutableList<String> HOPS = ImmutableList.of("entry-1", "steward-2");
  private static final String PROMPT = "{\"model\":\"pool\",\"prompt\":\"hello\"}";
  private static final String STREAMED =
      "{\"model\":\"pool\",\"prompt\":\"hello\",\"stream\":true}";

  private PublicApiFixture callers;

  @BeforeEach
  void start() throws Exception {
    callers = PublicApiFixture.start();
  }

  @AfterEach
  void stop() {
    callers.close();
  }

  @Test
  void aCompleteResponseCarriesTextUsageOutcomeAndHops() throws Exception {
    CompletableFuture<HttpResponse<String>> response = callers.post("/v1/completions", PROMPT);
    FakeNode.Generation generation = callers.node().generations().take();
    chunk(generation, 0, "good ");
    chunk(generation, 1, "day");
    end(generation, new Outcome.Answered(200));

    HttpResponse<String> received = response.get();
    assertThat(received.statusCode()).isEqualTo(200);
    assertThat(received.body()).contains("\"text\":\"good day\"");
    assertThat(received.body()).contains("\"total_tokens\":12");
    assertThat(received.headers().firstValue("Apricotmill-Outcome")).hasValue("answered");
    assertThat(received.headers().firstValue("Apricotmill-Hops")).hasValue("entry-1,steward-2");
    assertThat(received.headers().firstValue("Apricotmill-Request-Id"))
        .hasValue(generation.submission().id().value());
  }

  @Test
  void theSubmissionCarriesTheHeaderValues() throws Exception {
    String trace = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    var unused =
        callers.send(
            callers
                .request("/v1/chat/completions")
                .header("Authorization", "Bearer secret")
                .header("Idempotency-Key", "key-1")
                .header("Request-Timeout", "1.5")
                .header("traceparent", trace)
                .POST(
                    HttpRequest.BodyPublishers.ofString(
                        "{\"model\":\"pool\",\"max_tokens\":9,\"messages\":"
                            + "[{\"role\":\"user\",\"content\":\"which post?\"}]}")));
    var submission = callers.node().generations().take().submission();
    assertThat(submission.customerKey()).isEqualTo("secret");
    assertThat(submission.idempotencyKey()).hasValue("key-1");
    assertThat(submission.timeLimit()).hasValue(Duration.ofMillis(1500));
    assertThat(submission.traceParent()).isEqualTo(trace);
    assertThat(submission.maximumOutputTokens()).isEqualTo(9);
    assertThat(submission.prompt()).isEqualTo("<|user|>\nwhich post?\n<|assistant|>\n");
  }

  @Test
  void aStreamedResponseEndsWithTheOutcomeAndDone() throws Exception {
    CompletableFuture<HttpResponse<String>> response = callers.post("/v1/completions", STREAMED);
    FakeNode.Generation generation = callers.node().generations().take();
    chunk(generation, 0, "good");
    end(generation, new Outcome.Answered(200));

    HttpResponse<String> received = response.get();
    assertThat(received.headers().firstValue("content-type")).hasValue("text/event-stream");
    assertThat(received.body()).contains("\"text\":\"good\"");
    assertThat(received.body()).contains("\"apricotmill_outcome\":\"answered\"");
    assertThat(received.body()).endsWith("data: [DONE]\n\n");
  }

  @Test
  void aStreamThatBreaksEndsWithAnErrorEventAndNeverWithDone() throws Exception {
    CompletableFuture<HttpResponse<String>> response = callers.post("/v1/completions", STREAMED);
    FakeNode.Generation generation = callers.node().generations().take();
    chunk(generation, 0, "good");
    end(generation, new Outcome.Failed(FailureReason.STREAM_BROKEN));

    String body = response.get().body();
    assertThat(body).contains("event: error");
    assertThat(body).contains("\"reason\":\"stream-broken\"");
    assertThat(body).contains("\"apricotmill_outcome\":\"failed-may-have-run\"");
    assertThat(body).doesNotContain("[DONE]");
  }

  @Test
  void aStreamRefusedBeforeItsFirstChunkGetsProblemDetails() throws Exception {
    CompletableFuture<HttpResponse<String>> response = callers.post("/v1/completions", STREAMED);
    end(
        callers.node().generations().take(),
        new Outcome.Refused(RefusalReason.OVERLOADED, Duration.ofMillis(1200)));

    HttpResponse<String> received = response.get();
    assertThat(received.statusCode()).isEqualTo(503);
    assertThat(received.headers().firstValue("content-type")).hasValue("application/problem+json");
    assertThat(received.headers().firstValue("Retry-After")).hasValue("2");
    assertThat(received.headers().firstValue("Apricotmill-Outcome")).hasValue("not-run");
    assertThat(received.body()).contains("\"reason\":\"overloaded\"");
  }

  /** A service may run a call and end it with a status that reads as a refusal. */
  @Test
  void aServicesOwnErrorIsNeverToldAsNotRun() throws Exception {
    for (int status : new int[] {408, 421, 429, 503}) {
      CompletableFuture<HttpResponse<String>> response =
          callers.send(callers.request("/services/booking/huts/7").GET());
      FakeNode.Call call = callers.node().calls().take();
      call.answer()
          .complete(
              new CallResponse(
                  call.submission().id(),
                  new Outcome.Answered(status),
                  Optional.of(
                      new CallResult.Response(
                          status,
                          ImmutableMap.of("apricotmill-outcome", "not-run"),
                          new byte[] {'x'})),
                  false,
                  HOPS));

      HttpResponse<String> received = response.get();
      assertThat(received.statusCode()).isEqualTo(status);
      assertThat(received.headers().allValues("Apricotmill-Outcome")).containsExactly("answered");
    }
  }

  @Test
  void aPlainServiceCallIsRelayedInBothDirections() throws Exception {
    CompletableFuture<HttpResponse<String>> response =
        callers.send(
            callers
                .request("/services/booking/huts/7?day=1")
                .header("Authorization", "Bearer secret")
                .header("X-Desk", "north")
                .PUT(HttpRequest.BodyPublishers.ofString("taken")));
    FakeNode.Call call = callers.node().calls().take();
    assertThat(call.submission().method()).isEqualTo("PUT");
    assertThat(call.submission().path()).isEqualTo("/huts/7?day=1");
    assertThat(call.submission().headers()).containsEntry("x-desk", "north");
    assertThat(call.submission().headers()).doesNotContainKey("authorization");
    assertThat(call.submission().body()).isEqualTo("taken".getBytes(StandardCharsets.UTF_8));
    call.answer()
        .complete(
            new CallResponse(
                call.submission().id(),
                new Outcome.Answered(201),
                Optional.of(
                    new CallResult.Response(
                        201,
                        ImmutableMap.of("x-ledger", "4", "transfer-encoding", "chunked"),
                        new byte[] {'o', 'k'})),
                true,
                HOPS));

    HttpResponse<String> received = response.get();
    assertThat(received.statusCode()).isEqualTo(201);
    assertThat(received.body()).isEqualTo("ok");
    assertThat(received.headers().firstValue("x-ledger")).hasValue("4");
    assertThat(received.headers().firstValue("Apricotmill-Replayed")).hasValue("true");
  }

  private static void chunk(FakeNode.Generation generation, long position, String text) {
    generation.listener().onChunk(new TokenChunk(generation.submission().id(), position, 1, text));
  }

  private static void end(FakeNode.Generation generation, Outcome outcome) {
    generation
        .listener()
        .onEnd(
            new GenerationResponseEnd(
                generation.submission().id(),
                outcome,
                new ForwardEnd.Usage(10, 2, FinishReason.STOP),
                HOPS));
  }
}
