package dev.apricotmill.daemon.http;

import com.google.common.collect.ImmutableMap;
import dev.apricotmill.coordination.time.Timing;
import dev.apricotmill.node.relay.EventLog;
import io.micrometer.core.instrument.MeterRegistry;
import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import java.util.function.Consumer;

/** Counts clients that were refused or closed at a limit, and logs each limit once a second. */
public final class ClientLimitReporter implements Consumer<ClientLimit> {

  /** A flood of clients must not displace the other lines of the log. */
  private static final Duration LOG_INTERVAL = Duration.ofSeconds(1);

  private final Timing timing;
  private final EventLog log;
  private final MeterRegistry meters;
  private final Map<ClientLimit, Line> lines = new EnumMap<>(ClientLimit.class);

  /** Creates a reporter that has seen no client. */
  public ClientLimitReporter(Timing timing, EventLog log, MeterRegistry meters) {
    this.timing = timing;
    this.log = log;
    this.meters = meters;
  }

  @Override
  public void accept(ClientLimit limit) {
    meters.counter("apricotmill.relay.clients.limited", "limit", limit.name()).increment();
    long now = timing.nanoTime();
    long count;
    synchronized (this) {
      Line line = lines.computeIfAbsent(limit, key -> new Line(now - LOG_INTERVAL.toNanos()));
      line.count++;
      if (now - line.writtenNanos < LOG_INTERVAL.toNanos()) {
        return;
      }
      count = line.count;
      line.count = 0;
      line.writtenNanos = now;
    }
    log.write("client.limited", ImmutableMap.of("limit", limit.name(), "clients", count));
  }

  private static final class Line {
    private long writtenNanos;
    private long count;

    Line(long writtenNanos) {
      this.writtenNanos = writtenNanos;
    }
  }
}
