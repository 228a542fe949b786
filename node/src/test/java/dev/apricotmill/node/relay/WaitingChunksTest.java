package dev.apricotmill.node.relay;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

final class WaitingChunksTest {

  private final WaitingChunks waiting = new WaitingChunks();

  @Test
  void oneTaskIsQueuedForAllChunksThatWait() {
    assertThat(waiting.add(new byte[] {1}, /* keep= */ true, /* exchange= */ null)).isTrue();
    assertThat(waiting.add(new byte[] {2}, /* keep= */ true, /* exchange= */ null)).isFalse();
    assertThat(waiting.take().bytes()).isEqualTo(new byte[] {1, 2});
    assertThat(waiting.add(new byte[] {3}, /* keep= */ true, /* exchange= */ null)).isTrue();
    assertThat(waiting.take().bytes()).isEqualTo(new byte[] {3});
  }

  /** Guards against a response in whose middle bytes are missing. */
  @Test
  void nothingIsKeptAfterAChunkThatWasDropped() {
    waiting.add(new byte[] {1}, /* keep= */ true, /* exchange= */ null);
    waiting.add(new byte[] {2}, /* keep= */ false, /* exchange= */ null);
    waiting.add(new byte[] {3}, /* keep= */ true, /* exchange= */ null);

    WaitingChunks.Batch batch = waiting.take();

    assertThat(batch.bytes()).isEqualTo(new byte[] {1});
    assertThat(batch.droppedBytes()).isEqualTo(2);
  }
}
