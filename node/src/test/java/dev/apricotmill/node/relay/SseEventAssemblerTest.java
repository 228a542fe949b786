package dev.apricotmill.node.relay;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.base.Splitter;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.OptionalLong;
import java.util.stream.Collectors;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.CharRange;
import net.jqwik.api.constraints.Chars;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.StringLength;
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

  @Test
  void aBlankLineThatComesInTwoChunksEndsAnEvent() {
    for (String stream : new String[] {"id: 1\n\n", "id: 1\r\n\r\n"}) {
      for (int split = 1; split < stream.length(); split++) {
        SseEventAssembler chunked = new SseEventAssembler(OptionalLong.empty());

        String output =
            text(chunked.add(bytes(stream.substring(0, split))))
                + text(chunked.add(bytes(stream.substring(split))));

        assertThat(output).isEqualTo(stream);
        assertThat(chunked.hasPartial()).isFalse();
      }
    }
  }

  @Test
  void anotherServersStreamDoesNotContinueTheLineOfABrokenOne() {
    assembler.add(bytes("id: 1\n\nid: 2\n"));
    assembler.discardPartial();

    assertThat(text(assembler.add(bytes("\nid: 2\n")))).isEmpty();
    assertThat(text(assembler.add(bytes("\n")))).isEqualTo("\nid: 2\n\n");
  }

  /** Guards against a search that misses the end of an event, or finds one that is none. */
  @Property(tries = 1000)
  void anyBytesAreSplitAsInOneChunk(
      @ForAll @CharRange(from = 'x', to = 'x') @Chars({'\r', '\n'}) @StringLength(max = 12)
          String stream,
      @ForAll @IntRange(min = 1, max = 4) int chunkLength) {
    SseEventAssembler whole = new SseEventAssembler(OptionalLong.empty());
    SseEventAssembler chunked = new SseEventAssembler(OptionalLong.empty());
    String expected = text(whole.add(bytes(stream)));

    String output =
        Splitter.fixedLength(chunkLength)
            .splitToStream(stream)
            .map(chunk -> text(chunked.add(bytes(chunk))))
            .collect(Collectors.joining());

    assertThat(output).isEqualTo(expected);
    assertThat(chunked.partialBytes()).isEqualTo(stream.length() - expected.length());
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  private static String text(byte[] bytes) {
    return new String(bytes, StandardCharsets.UTF_8);
  }
}
