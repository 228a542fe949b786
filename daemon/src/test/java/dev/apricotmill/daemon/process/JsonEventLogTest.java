package dev.apricotmill.daemon.process;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.collect.ImmutableMap;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

final class JsonEventLogTest {

  private static final int MORE_LINES_THAN_FIT = 6_000;

  @Test
  void eachEventIsOneLineOfJson() throws IOException {
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    JsonEventLog log = JsonEventLog.start(new PrintStream(output), SystemTiming.startSerial());

    log.write("relay.sent", ImmutableMap.of("request", "r\n1", "left_ms", 12));
    log.flush();

    JsonNode line = new ObjectMapper().readTree(output.toByteArray());
    assertThat(line.path("event").asText()).isEqualTo("relay.sent");
    assertThat(line.path("request").asText()).isEqualTo("r\n1");
    assertThat(line.path("left_ms").asInt()).isEqualTo(12);
    assertThat(output.toString(StandardCharsets.UTF_8).lines().count()).isEqualTo(1);
  }

  @Test
  void anOutputThatBlocksHoldsNoCallerUpAndLinesThatAreLostAreCounted()
      throws InterruptedException {
    CountDownLatch blocked = new CountDownLatch(1);
    OutputStream stuck =
        new OutputStream() {
          @Override
          public void write(int b) throws IOException {
            await();
          }

          @Override
          public void write(byte[] bytes, int offset, int length) throws IOException {
            await();
          }

          private void await() throws IOException {
            try {
              blocked.await();
            } catch (InterruptedException e) {
              throw new IOException(e);
            }
          }
        };
    JsonEventLog log = JsonEventLog.start(new PrintStream(stuck), SystemTiming.startSerial());

    for (int i = 0; i < MORE_LINES_THAN_FIT; i++) {
      log.write("test", ImmutableMap.of());
    }

    assertThat(log.droppedLines()).isGreaterThan(0);
    blocked.countDown();
  }

  @Test
  void linesAboutRequestsAreBoundedInRateAndOthersStillComeThrough() throws IOException {
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    JsonEventLog log = JsonEventLog.start(new PrintStream(output), SystemTiming.startSerial());

    for (int i = 0; i < 3 * JsonEventLog.REQUEST_LINES_PER_SECOND; i++) {
      log.write("relay.refused", ImmutableMap.of("request", "r" + i));
    }
    log.write("node.stopping", ImmutableMap.of());
    log.flush();

    String text = output.toString(StandardCharsets.UTF_8);
    assertThat(text.lines().count()).isLessThan(2L * JsonEventLog.REQUEST_LINES_PER_SECOND);
    assertThat(text).contains("node.stopping");
    assertThat(text).contains("dropped_lines");
  }

  @Test
  void aFlushWaitsForALineThatIsBeingWritten() {
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    OutputStream slow =
        new OutputStream() {
          @Override
          public void write(int b) {
            output.write(b);
          }

          @Override
          public void write(byte[] bytes, int offset, int length) throws IOException {
            try {
              Thread.sleep(50);
            } catch (InterruptedException e) {
              throw new IOException(e);
            }
            output.write(bytes, offset, length);
          }
        };
    JsonEventLog log = JsonEventLog.start(new PrintStream(slow), SystemTiming.startSerial());

    log.write("node.stopped", ImmutableMap.of());
    log.flush();

    assertThat(output.toString(StandardCharsets.UTF_8)).contains("node.stopped");
  }
}
