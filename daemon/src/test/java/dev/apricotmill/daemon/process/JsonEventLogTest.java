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

  private static final int LINES_BEYOND_QUEUE_CAPACITY = 6_000;

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
  void aBlockedOutputDelaysNoCallerAndDroppedLinesAreCounted() {
    CountDownLatch released = new CountDownLatch(1);
    OutputStream blocking =
        new BlockingOutput(OutputStream.nullOutputStream(), new CountDownLatch(1), released);
    JsonEventLog log = JsonEventLog.start(new PrintStream(blocking), SystemTiming.startSerial());

    for (int i = 0; i < LINES_BEYOND_QUEUE_CAPACITY; i++) {
      log.write("test", ImmutableMap.of());
    }

    assertThat(log.droppedLines()).isGreaterThan(0);
    released.countDown();
  }

  @Test
  void requestLinesAreRateLimitedAndOtherLinesAreStillWritten() throws IOException {
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
  void aFlushWaitsForALineThatIsBeingWritten() throws InterruptedException {
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    CountDownLatch writing = new CountDownLatch(1);
    CountDownLatch released = new CountDownLatch(1);
    JsonEventLog log =
        JsonEventLog.start(
            new PrintStream(new BlockingOutput(output, writing, released)),
            SystemTiming.startSerial());
    log.write("node.stopped", ImmutableMap.of());
    writing.await();

    Thread flushing = Thread.currentThread();
    Thread releaser =
        new Thread(
            () -> {
              while (flushing.getState() != Thread.State.TIMED_WAITING) {
                Thread.onSpinWait();
              }
              released.countDown();
            });
    releaser.setDaemon(true);
    releaser.start();
    log.flush();

    assertThat(output.toString(StandardCharsets.UTF_8)).contains("node.stopped");
  }

  /** Signals when a write begins and blocks it until it is released. */
  private static final class BlockingOutput extends OutputStream {

    private final OutputStream output;
    private final CountDownLatch writing;
    private final CountDownLatch released;

    BlockingOutput(OutputStream output, CountDownLatch writing, CountDownLatch released) {
      this.output = output;
      this.writing = writing;
      this.released = released;
    }

    @Override
    public void write(int b) throws IOException {
      write(new byte[] {(byte) b}, 0, 1);
    }

    @Override
    public void write(byte[] bytes, int offset, int length) throws IOException {
      writing.countDown();
      try {
        released.await();
      } catch (InterruptedException e) {
        throw new IOException(e);
      }
      output.write(bytes, offset, length);
    }
  }
}
