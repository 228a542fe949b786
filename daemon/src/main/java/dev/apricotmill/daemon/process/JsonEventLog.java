package dev.apricotmill.daemon.process;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.collect.ImmutableMap;
import com.google.common.util.concurrent.ThreadFactoryBuilder;
import dev.apricotmill.coordination.time.Timing;
import dev.apricotmill.core.fairness.CellRate;
import dev.apricotmill.node.relay.EventLog;
import java.io.PrintStream;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Writes each event as one line of JSON from a thread of its own.
 *
 * <p>A full queue drops lines rather than hold a request up, and so does a rate of lines about
 * requests that a node at its usual load does not reach. The next line that is written tells how
 * many were dropped.
 */
public final class JsonEventLog implements EventLog {

  private static final Logger LOGGER = System.getLogger(JsonEventLog.class.getName());

  /** Lines that wait for the writer: some seconds of a busy node. */
  private static final int QUEUE_CAPACITY_LINES = 4096;

  /** About five lines for each of 200 requests a second, several times the share of one node. */
  static final int REQUEST_LINES_PER_SECOND = 1_000;

  private static final long LINE_COST = CellRate.cost(1, REQUEST_LINES_PER_SECOND);

  /** One line less than a second's, since a rate may fall into debt by one. */
  private static final Duration BURST_TOLERANCE = Duration.ofMillis(999);

  private static final String REQUEST_FIELD = "request";

  /** How long the end of a process may wait for its last lines. */
  private static final long FLUSH_TIMEOUT_MILLIS = 200;

  private final ObjectMapper json = new ObjectMapper();
  private final BlockingQueue<Runnable> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY_LINES);
  private final AtomicLong dropped = new AtomicLong();
  private final CellRate requestLineLimiter;
  private final PrintStream output;
  private final Timing timing;

  private JsonEventLog(PrintStream output, Timing timing) {
    this.output = output;
    this.timing = timing;
    requestLineLimiter = new CellRate(BURST_TOLERANCE, timing.nanoTime());
  }

  /** Starts a log that writes to {@code output}. */
  public static JsonEventLog start(PrintStream output, Timing timing) {
    JsonEventLog log = new JsonEventLog(output, timing);
    new ThreadFactoryBuilder()
        .setNameFormat("event-log")
        .setDaemon(true)
        .build()
        .newThread(log::writeLines)
        .start();
    return log;
  }

  @Override
  public void write(String event, ImmutableMap<String, Object> fields) {
    if (fields.containsKey(REQUEST_FIELD)
        && requestLineLimiter.take(LINE_COST, timing.nanoTime()) > 0) {
      dropped.incrementAndGet();
      return;
    }
    Map<String, Object> line = new LinkedHashMap<>();
    line.put("time", Instant.ofEpochMilli(timing.clock().millis()).toString());
    line.put("event", event);
    line.putAll(fields);
    if (!queue.offer(() -> writeLine(line))) {
      dropped.incrementAndGet();
    }
  }

  /** Returns how many lines were dropped since the last one that was written. */
  public long droppedLines() {
    return dropped.get();
  }

  /** Waits a short time until the lines that were given have been written. */
  public void flush() {
    CountDownLatch written = new CountDownLatch(1);
    try {
      if (queue.offer(written::countDown, FLUSH_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
          && !written.await(FLUSH_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)) {
        LOGGER.log(Level.DEBUG, "log: the last lines were not written in time");
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void writeLines() {
    try {
      while (true) {
        queue.take().run();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void writeLine(Map<String, Object> line) {
    long droppedBefore = dropped.getAndSet(0);
    if (droppedBefore > 0) {
      line.put("dropped_lines", droppedBefore);
    }
    try {
      byte[] text = (json.writeValueAsString(line) + "\n").getBytes(StandardCharsets.UTF_8);
      output.write(text, 0, text.length);
      output.flush();
    } catch (JsonProcessingException e) {
      dropped.incrementAndGet();
    }
  }
}
