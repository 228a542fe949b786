package dev.apricotmill.adapters;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import dev.apricotmill.coordination.identity.DaemonId;
import dev.apricotmill.coordination.identity.Incarnation;
import dev.apricotmill.coordination.membership.PeerAddress;
import dev.apricotmill.core.engine.EngineRefusal;
import dev.apricotmill.core.engine.EngineRequest;
import dev.apricotmill.core.engine.GenerationEnd;
import dev.apricotmill.core.engine.SequenceId;
import dev.apricotmill.core.request.RequestId;
import java.nio.ByteBuffer;
import java.time.Duration;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.junit.jupiter.api.Test;

final class GenerationExchangeTest {

  private static final EngineRequest REQUEST =
      new EngineRequest(
          new SequenceId(new Incarnation(new DaemonId("daemon"), 1), new RequestId("r"), 1),
          "prompt",
          10,
          0,
          Duration.ofSeconds(10),
          0,
          "");

  private final RecordingListener listener = new RecordingListener();
  private int cancels;
  private int windowUpdates;
  private final GenerationExchange exchange =
      new GenerationExchange(new PeerAddress("127.0.0.1", 1), REQUEST, listener, () -> cancels++);

  private void receiveChunk(int position) {
    String event =
        String.format(
            "data: {\"id\":\"r\",\"choices\":[{\"text\":\"t\",\"finish_reason\":null}],"
                + "\"apricotmill\":{\"position\":%d,\"tokens\":1}}\n\n",
            position);
    exchange.consume(ByteBuffer.wrap(event.getBytes(UTF_8)));
  }

  /** A copy of a refusal that comes late ends the next sequence on the connection as refused. */
  @Test
  void aResponseLeavesItsConnectionToNoOtherSequence() {
    exchange.onHead(new BasicHttpResponse(503));
    assertThat(exchange.allowsReuse()).isFalse();

    exchange.onHead(new BasicHttpResponse(200));
    assertThat(exchange.allowsReuse()).isFalse();
  }

  @Test
  void noFurtherBytesAreReadUntilTheListenerHasUnmetDemand() {
    exchange.onHead(new BasicHttpResponse(200));
    receiveChunk(0);
    exchange.updateCapacity(increment -> windowUpdates++);

    assertThat(windowUpdates).isEqualTo(0);
    exchange.subscription().request(1);
    assertThat(windowUpdates).isEqualTo(0);
    exchange.subscription().request(1);
    assertThat(windowUpdates).isEqualTo(1);
    assertThat(listener.count()).isEqualTo(1);
  }

  @Test
  void aFailureBeforeTheRequestIsSentIsReportedAsNotStartedAndCancelsNothing() {
    exchange.abort(ExchangeFailure.CONNECTION_LOST);

    assertThat(listener.end().join())
        .isEqualTo(new GenerationEnd.NotStarted(EngineRefusal.UNREACHABLE, Duration.ZERO));
    assertThat(cancels).isEqualTo(0);
  }

  @Test
  void aCancelBeforeTheRequestIsSentReportsNothing() {
    exchange.subscription().cancel();
    exchange.abort(ExchangeFailure.CONNECTION_LOST);

    assertThat(listener.end().isDone()).isFalse();
    assertThat(cancels).isEqualTo(0);
  }
}
