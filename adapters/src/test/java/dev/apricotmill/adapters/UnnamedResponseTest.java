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
import dev.apricotmill.testhelpers.http.RawServer;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import org.apache.hc.core5.http.HttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against responses without an identifier that are taken for those to other requests. */
final class UnnamedResponseTest {

  private final AdapterFixture fixture = new AdapterFixture();

  @AfterEach
  void close() throws IOException {
    fixture.close();
  }

  @Test
  void anOrderIsNotAcceptedByTheSecondResponseToAPoll() throws Exception {
    String refusal = "HTTP/1.1 500 Failed\r\nContent-Length: 2\r\n\r\n{}";
    RawServer server =
        fixture.serve(List.of(response("{}"), response("{}") + refusal), List.of(refusal));
    HttpModelEngine engine = new HttpModelEngine(fixture.clients(), server.address());
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
    RawServer server = fixture.serve(List.of(stream, refusal + failure), List.of(failure));
    HttpModelEngine engine = new HttpModelEngine(fixture.clients(), server.address());
    RecordingListener first = new RecordingListener();
    engine.generate(request("r-1"), first);
    assertThat(await(first.end())).isInstanceOf(GenerationEnd.Finished.class);
    await(server.firstConnectionEnded());

    RecordingListener listener = new RecordingListener();
    engine.generate(request("r-2"), listener);

    assertThat(await(listener.end())).isInstanceOf(GenerationEnd.Broken.class);
  }

  /** The connection has carried no request, so that its first response needs no identifier. */
  @Test
  void aConnectionOfAnEndedExchangeThatSentNothingCountsAsUnused() throws Exception {
    RawServer server =
        fixture.serve(List.of(response("one"), response("two")), List.of(response("one")));
    StreamedExchange ended =
        new StreamedExchange(server.address(), call("r1"), new IgnoringListener());
    ended.close();
    fixture.clients().start(ended, TEST_TIMEOUT);
    awaitUntil(() -> fixture.clients().idleConnections() == 1);

    ExchangeResult result =
        await(fixture.clients().send(server.address(), call("r2"), 1024, Duration.ofSeconds(10)));

    assertThat(result).isInstanceOf(ExchangeResult.Response.class);
    assertThat(server.connections()).isEqualTo(1);
  }

  @Test
  void aResponseWhoseViaHeaderNamesAnAddressIsSound() throws Exception {
    PeerAddress server =
        fixture.serve(
            List.of("HTTP/1.1 200 OK\r\nVia: HTTP/1.1 10.0.0.7:80\r\nContent-Length: 0\r\n\r\n"));

    ExchangeResult result =
        await(fixture.clients().send(server, HttpCall.get("/"), 1024, Duration.ofSeconds(10)));

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

  private static String response(String body) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
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
