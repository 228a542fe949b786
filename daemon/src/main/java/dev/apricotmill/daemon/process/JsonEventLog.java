package dev.apricotmill.daemon.process;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.collect.ImmutableMap;
import com.google.common.util.concurrent.ThreadFactoryBuilder;
import dev.apricotmill.coordination.time.Timing;
import dev.apricotmill.node.relay.EventLog;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
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

  /** Lines that wait for the writer: some seconds of a busy node. */
  private static final int QUEUED_LINES = 4096;

  /** About five lines for each of 200 requests a second, several times the share of one node. */
  static final int REQUEST_LINES_PER_SECOND = 1_000;

  private static final String REQUEST = "request";
  private static final long FLUSH_POLL_MILLIS = 5;
  private static final long FLUSH_LIMIT_MILLIS = 200;

  private final ObjectMapper json = new ObjectMapper();
  private final BlockingQueue<Map<String, Object>> queue = new ArrayBlockingQueue<>(QUEUED_LINES);
  private final AtomicLong dropped = new AtomicLong();
  private final AtomicLong unwritten = new AtomicLong();
  private final LineRate rate = new LineRate(REQUEST_LINES_PER_SECOND);
  private final PrintStream output;
  private final Timing timing;

  private JsonEventLog(PrintStream output, Timing timing) {
    this.output = output;
    this.timing = timing;
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
    if (fields.containsKey(REQUEST) && !rate.tryTake(timing.nanoTime())) {
      dropped.incrementAndGet();
      return;
    }
    Map<String, Object> line = new LinkedHashMap<>();
    line.put("time", Instant.ofEpochMilli(timing.clock().millis()).toString());
    line.put("event", event);
    line.putAll(fields);
    unwritten.incrementAndGet();
    if (!queue.offer(line)) {
      unwritten.decrementAndGet();
      dropped.incrementAndGet();
    }
  }

  /** Returns how many lines were dropped since the last one that was written. */
  public long droppedLines() {
    return dropped.get();
  }

  /** Waits a short time until the lines that were given have been written. */
  public void flush() {
    try {
      for (long waited = 0; waited < FLUSH_LIMIT_MILLIS; waited += FLUSH_POLL_MILLIS) {
        if (unwritten.get() == 0) {
          break;
        }
        TimeUnit.MILLISECONDS.sleep(FLUSH_POLL_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    output.flush();
  }

  private void writeLines() {
    try {
      while (true) {
        writeLine(queue.take());
        unwritten.decrementAndGet();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void writeLine(Map<String, Object> line) {
    long lost = dropped.getAndSet(0);
    if (lost > 0) {
      line.put("dropped_lines", lost);
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
