package dev.apricotmill.daemon.operators;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableMap;
import com.google.common.hash.Hashing;
import dev.apricotmill.daemon.http.CompleteResponse;
import dev.apricotmill.daemon.http.IncomingRequest;
import dev.apricotmill.daemon.http.ResponseProgressListener;
import dev.apricotmill.daemon.http.ResponseSender;
import dev.apricotmill.daemon.http.ResponseStream;
import dev.apricotmill.daemon.testing.FakeNode;
import dev.apricotmill.node.api.NodeStatus;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

final class OperatorsHandlerTest {

  private static final String TOKEN = "operators-token";
  private static final String HASH =
      Hashing.sha256().hashString(TOKEN, StandardCharsets.UTF_8).toString();

  private final FakeNode node = new FakeNode();
  private final PrometheusMeterRegistry meters =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

  @Test
  void readinessFollowsThePhase() {
    assertThat(send("GET", "/live").status()).isEqualTo(200);
    assertThat(send("GET", "/ready").status()).isEqualTo(503);
    node.start();
    assertThat(send("GET", "/ready").status()).isEqualTo(200);
  }

  @Test
  void theStatusShowsDaemonPhaseAndMembers() {
    node.start();
    String status = new String(send("GET", "/status").body(), StandardCharsets.UTF_8);
    assertThat(status).contains("\"daemon\":\"fake\",\"incarnation\":7,\"zone\":\"test-1\"");
    assertThat(status).contains("\"phase\":\"ready\"");
    assertThat(status).contains("\"state\":\"alive\"");
  }

  @Test
  void aDrainStartsOnlyByPost() {
    node.start();
    assertThat(send("GET", "/drain").status()).isEqualTo(405);
    assertThat(node.status().phase()).isEqualTo(NodeStatus.Phase.READY);
    assertThat(send("POST", "/drain").status()).isEqualTo(202);
    assertThat(node.status().phase()).isEqualTo(NodeStatus.Phase.DRAINED);
  }

  @Test
  void metricsAreServedInPrometheusFormat() {
    meters.counter("apricotmill.test").increment();
    assertThat(new String(send("GET", "/metrics").body(), StandardCharsets.UTF_8))
        .contains("apricotmill_test_total 1.0");
  }

  @Test
  void withATokenSetOnlyProbesNeedNoToken() {
    OperatorsHandler handler =
        new OperatorsHandler(node, meters, new OperatorsToken(Optional.of(HASH)));
    assertThat(send(handler, "GET", "/live", ImmutableMap.of()).status()).isEqualTo(200);
    assertThat(send(handler, "POST", "/drain", ImmutableMap.of()).status()).isEqualTo(401);
    assertThat(
            send(handler, "GET", "/status", ImmutableMap.of("authorization", "Bearer other"))
                .status())
        .isEqualTo(401);
    assertThat(
            send(handler, "GET", "/status", ImmutableMap.of("authorization", "Bearer " + TOKEN))
                .status())
        .isEqualTo(200);
  }

  private CompleteResponse send(String method, String path) {
    OperatorsHandler handler =
        new OperatorsHandler(node, meters, new OperatorsToken(Optional.empty()));
    return send(handler, method, path, ImmutableMap.of());
  }

  private static CompleteResponse send(
      OperatorsHandler handler, String method, String path, ImmutableMap<String, String> headers) {
    RecordingResponseSender sender = new RecordingResponseSender();
    handler.handle(new IncomingRequest(method, path, headers, new byte[0]), sender);
    assertThat(sender.responses).hasSize(1);
    return sender.responses.get(0);
  }

  private static final class RecordingResponseSender implements ResponseSender {
    private final List<CompleteResponse> responses = new ArrayList<>();

    @Override
    public void send(CompleteResponse answer) {
      responses.add(answer);
    }

    @Override
    public ResponseStream startStream(int status, ImmutableMap<String, String> headers) {
      throw new AssertionError("nothing is streamed to operators");
    }

    @Override
    public void setListener(ResponseProgressListener listener) {}
  }
}
