package dev.apricotmill.daemon.process;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.collect.ImmutableMap;
import com.google.common.util.concurrent.ThreadFactoryBuilder;
import dev.apricotmill.coordination.time.Timing;
import dev.apricotmill.core.fairness.GcraLimiter;
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
 * Writes each event as one line of JSON on a dedicated thread.
 *
 * <p>Lines are dropped instead of delaying a request when the queue is full. Lines about requests
 * are also dropped above a rate that a node does not reach under its usual load. The next line
 * written reports how many were dropped.
 */
public final class JsonEventLog implements EventLog {

  private static final Logger LOGGER = System.getLogger(JsonEventLog.class.getName());

  /** Holds the lines that a busy node writes in some seconds. */
  private static final int QUEUE_CAPACITY_LINES = 4096;

  /** About five lines for each of 200 requests/s, several times the load of one node. */
  static final int REQUEST_LINES_PER_SECOND = 1_000;

  private static final long LINE_COST = GcraLimiter.cost(1, REQUEST_LINES_PER_SECOND);

  /** One line less than 1 s of lines, since the limiter may exceed its rate by one. */
  private static final Duration BURST_TOLERANCE = Duration.ofMillis(999);

  private static final String REQUEST_FIELD = "request";

  /** How long the shutdown of the process may wait for the last lines. */
  private static final long FLUSH_TIMEOUT_MILLIS = 200;

  private final ObjectMapper json = new ObjectMapper();
  private final BlockingQueue<Runnable> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY_LINES);
  private final AtomicLong dropped = new AtomicLong();
  private final GcraLimiter requestLineLimiter;
  private final PrintStream output;
  private final Timing timing;

  private JsonEventLog(PrintStream output, Timing timing) {
    this.output = output;
    this.timing = timing;
    requestLineLimiter = new GcraLimiter(BURST_TOLERANCE, timing.nanoTime());
  }

  /** Starts a log that writes to {@code output}, with a daemon thread of its own. */
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

  /** Returns the number of lines dropped since the last line that was written. */
  public long droppedLines() {
    return dropped.get();
  }

  /** Waits until the lines queued so far are written, or a short timeout expires. */
  public void flush() {
    CountDownLatch written = new CountDownLatch(1);
    try {
      if (queue.offer(written::countDown, FLUSH_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
          && !written.await(FLUSH_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)) {
        LOGGER.log(Level.DEBUG, "log: queued lines not written before the flush timeout");
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
