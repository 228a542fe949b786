package dev.apricotmill.adapters;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

final class ServerSentEventDecoderTest {

  private static final String STREAM =
      ": comment\r\n\r\ndata: {\"text\":\"č\"}\n\nevent: x\ndata:two\ndata: lines\r\n\r\ndata: cut";
  private static final int LIMIT = 64;

  private final List<String> events = new ArrayList<>();
  private final ServerSentEventDecoder decoder = new ServerSentEventDecoder(LIMIT, events::add);

  @Property(seed = "42", tries = 60)
  void theEventsDoNotDependOnHowTheBytesAreSplit(@ForAll @IntRange(min = 1, max = 90) int size) {
    List<String> decoded = new ArrayList<>();
    ServerSentEventDecoder splitDecoder = new ServerSentEventDecoder(LIMIT, decoded::add);
    byte[] bytes = STREAM.getBytes(UTF_8);
    for (int start = 0; start < bytes.length; start += size) {
      int length = Math.min(size, bytes.length - start);
      assertThat(splitDecoder.decode(ByteBuffer.wrap(bytes, start, length))).isTrue();
    }

    assertThat(decoded).containsExactly("{\"text\":\"č\"}", "two\nlines").inOrder();
  }

  @Test
  void anEventAboveTheLimitIsRefused() {
    byte[] bytes = ("data: " + "x".repeat(LIMIT)).getBytes(UTF_8);

    assertThat(decoder.decode(ByteBuffer.wrap(bytes))).isFalse();
    assertThat(events).isEmpty();
  }
}
