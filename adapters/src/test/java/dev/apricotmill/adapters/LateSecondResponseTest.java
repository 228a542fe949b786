package dev.apricotmill.adapters;

import static com.google.common.truth.Truth.assertThat;
import static dev.apricotmill.adapters.AdapterFixture.TEST_TIMEOUT;
import static dev.apricotmill.adapters.AdapterFixture.await;

import com.google.common.collect.ImmutableMap;
import dev.apricotmill.coordination.identity.DaemonId;
import dev.apricotmill.coordination.identity.Incarnation;
import dev.apricotmill.core.engine.EngineRequest;
import dev.apricotmill.core.engine.GenerationEnd;
import dev.apricotmill.core.engine.SequenceId;
import dev.apricotmill.core.request.CustomerId;
import dev.apricotmill.core.request.RequestId;
import dev.apricotmill.core.request.ServiceCall;
import dev.apricotmill.core.request.ServiceName;
import dev.apricotmill.core.service.CallResult;
import dev.apricotmill.testhelpers.http.RawServer;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against a late second response to one call that is taken for the response to the next. */
final class LateSecondResponseTest {

  private final AdapterFixture fixture = new AdapterFixture();
  private RawServer server;

  @AfterEach
  void close() throws IOException {
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
    HttpModelEngine engine = new HttpModelEngine(fixture.clients(), server.address());
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
            .call(AdapterFixture.replicaAt(server.address()), call, TEST_TIMEOUT));
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

  private static String response(int status, String body) {
    return String.format(
        "HTTP/1.1 %d Status\r\nContent-Length: %d\r\n\r\n%s", status, body.length(), body);
  }

  /**
   * Responds to the first request with {@code first}, and to any other with {@code others}; but the
   * second request on the first connection gets a copy of the first response before its own.
   */
  private void repeatFirstResponse(String first, String others) throws IOException {
    server = fixture.serve(List.of(first, first + others), List.of(others, others));
  }
}
