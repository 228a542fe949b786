package dev.apricotmill.node.relay;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.OptionalLong;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

final class SseEventAssemblerTest {

  private static final String STREAM =
      "id: 1\ndata: one\n\nid: 2\r\ndata: two\r\n\r\nid: 3\ndata: a\ndata: b\n\n";

  private final SseEventAssembler assembler = new SseEventAssembler(OptionalLong.empty());

  @Test
  void onlyCompleteEventsArePassedOn() {
    assertThat(text(assembler.add(bytes("id: 1\ndata: o")))).isEmpty();
    assertThat(assembler.hasPartial()).isTrue();
    assertThat(text(assembler.add(bytes("ne\n\nid: 2\n")))).isEqualTo("id: 1\ndata: one\n\n");
    assertThat(assembler.lastId()).isEqualTo(OptionalLong.of(1));
  }

  @Test
  void aPartialEventOfABrokenStreamIsDiscarded() {
    assembler.add(bytes("id: 1\ndata: one\n\nid: 2\ndata: tw"));

    assembler.discardPartial();

    assertThat(text(assembler.add(bytes("id: 2\ndata: two\n\n"))))
        .isEqualTo("id: 2\ndata: two\n\n");
    assertThat(assembler.isOutOfOrder()).isFalse();
  }

  @Test
  void aRepeatedEventIsOutOfOrder() {
    assembler.add(bytes("id: 1\n\nid: 2\n\n"));

    assembler.add(bytes("id: 2\n\n"));

    assertThat(assembler.isOutOfOrder()).isTrue();
  }

  @Test
  void aResumedStreamMustContinueAfterTheLastEventOfTheCaller() {
    SseEventAssembler resumed = new SseEventAssembler(OptionalLong.of(7));

    resumed.add(bytes("id: 7\n\n"));

    assertThat(resumed.isOutOfOrder()).isTrue();
  }

  @Property(tries = 300)
  void theOutputDoesNotDependOnTheChunkBoundaries(
      @ForAll @IntRange(min = 0, max = 60) int first,
      @ForAll @IntRange(min = 0, max = 60) int second) {
    SseEventAssembler chunked = new SseEventAssembler(OptionalLong.empty());
    byte[] all = bytes(STREAM);
    int low = Math.min(Math.min(first, second), all.length);
    int high = Math.min(Math.max(first, second), all.length);

    String output =
        text(chunked.add(Arrays.copyOfRange(all, 0, low)))
            + text(chunked.add(Arrays.copyOfRange(all, low, high)))
            + text(chunked.add(Arrays.copyOfRange(all, high, all.length)));

    assertThat(output).isEqualTo(STREAM);
    assertThat(chunked.lastId()).isEqualTo(OptionalLong.of(3));
    assertThat(chunked.isOutOfOrder()).isFalse();
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  private static String text(byte[] bytes) {
    return new String(bytes, StandardCharsets.UTF_8);
  }
}
