package dev.apricotmill.daemon.callers;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import dev.apricotmill.core.engine.TokenChunk;
import dev.apricotmill.core.outcome.Outcome;
import dev.apricotmill.core.peer.ForwardEnd;
import dev.apricotmill.daemon.testing.Eventually;
import dev.apricotmill.daemon.testing.FakeNode;
import dev.apricotmill.daemon.testing.PublicApiFixture;
import dev.apricotmill.daemon.testing.RawConnection;
import dev.apricotmill.node.api.GenerationResponseEnd;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
final class StreamBackPressureTest {

  private static final String STREAMING_BODY =
      "{\"model\":\"pool\",\"prompt\":\"hello\",\"stream\":true}";
  private static final String REQUEST =
      "POST /v1/completions HTTP/1.1\r\nhost: 127.0.0.1\r\ncontent-length: "
          + STREAMING_BODY.length()
          + "\r\n\r\n"
          + STREAMING_BODY;
  private static final String CHUNK_TEXT = "a".repeat(64 << 10);
  private static final int MAX_CHUNKS = 10_000;

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
  void aCallerThatDoesNotReadStopsDemandAfterABoundedNumberOfChunks() throws Exception {
    try (RawConnection connection = callers.connect()) {
      connection.send(REQUEST);
      FakeNode.Generation generation = callers.node().generations().take();
      int sent = sendWhileDemanded(generation);
      // Chunks in the kernel's socket buffers come on top of the window; both are bounded.
      assertThat(sent).isAtLeast((int) CompletionHandler.STREAM_WINDOW_CHUNKS);
      assertThat(sent).isLessThan(MAX_CHUNKS);

      for (int i = 0; i < sent; i++) {
        connection.readUntil("\n\n");
      }
      assertThat(generation.demand().awaitOne()).isTrue();
    }
  }

  @Test
  void aResponseCountsAsOpenUntilTheSocketTookItsEnd() throws Exception {
    try (RawConnection connection = callers.connect()) {
      connection.send(REQUEST);
      FakeNode.Generation generation = callers.node().generations().take();
      assertThat(callers.listener().openResponses()).isEqualTo(1);
      generation
          .listener()
          .onEnd(
              new GenerationResponseEnd(
                  generation.submission().id(),
                  new Outcome.Answered(200),
                  ForwardEnd.Usage.NONE,
                  ImmutableList.of()));
      connection.readUntil("[DONE]");
      Eventually.holds(() -> callers.listener().openResponses() == 0);
    }
  }

  @Test
  void aCallerDisconnectCancelsTheRequest() throws Exception {
    RawConnection connection = callers.connect();
    connection.send(REQUEST);
    FakeNode.Generation generation = callers.node().generations().take();
    assertThat(generation.demand().isCancelled()).isFalse();
    connection.close();
    assertThat(generation.demand().awaitCancel()).isTrue();
  }

  @Test
  void aCallerDisconnectDuringAStreamCancelsTheRequest() throws Exception {
    RawConnection connection = callers.connect();
    connection.send(REQUEST);
    FakeNode.Generation generation = callers.node().generations().take();
    generation.listener().onChunk(new TokenChunk(generation.submission().id(), 0, 1, "good"));
    connection.readUntil("good");
    connection.close();
    assertThat(generation.demand().awaitCancel()).isTrue();
  }

  private static int sendWhileDemanded(FakeNode.Generation generation) throws InterruptedException {
    int sent = 0;
    while (sent < MAX_CHUNKS && generation.demand().awaitOneBriefly()) {
      generation
          .listener()
          .onChunk(new TokenChunk(generation.submission().id(), sent, 1, CHUNK_TEXT));
      sent++;
    }
    return sent;
  }
}
