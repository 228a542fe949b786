package dev.apricotmill.node.relay;

import com.google.common.collect.ImmutableMap;
import dev.apricotmill.coordination.time.Timing;
import dev.apricotmill.core.pool.Placement;
import dev.apricotmill.core.request.ServiceName;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Reports what the dispatcher of a pool decides where prompts compete for engines. Runs on the
 * relay's executor.
 */
public final class CompetitionMonitor {

  /** The number changes with each short prompt; a line for each of them says no more. */
  private static final Duration LOG_PERIOD = Duration.ofSeconds(1);

  private static final String KEPT_GAUGE = "apricotmill.relay.engines_kept_free";
  private static final String REFUSED_COUNTER = "apricotmill.relay.competing_prompts_refused";

  private final Timing timing;
  private final EventLog log;
  private final MeterRegistry registry;
  private final Map<ServiceName, Pool> pools = new HashMap<>();

  /** Creates a monitor that has seen no pool. */
  public CompetitionMonitor(Timing timing, EventLog log, MeterRegistry registry) {
    this.timing = timing;
    this.log = log;
    this.registry = registry;
  }

  /** What was last reported of a pool. */
  private static final class Pool {
    private final AtomicInteger kept = new AtomicInteger();
    private int loggedKept;
    private long loggedNanos;
  }

  /**
   * Records a placement.
   *
   * @param enginesKeptFree the engines that are kept free for short prompts; 0 where prompts do not
   *     compete
   */
  void onPlaced(ServiceName service, Placement placement, int enginesKeptFree) {
    Pool pool = pools.get(service);
    if (pool == null) {
      if (enginesKeptFree == 0) {
        return;
      }
      pool = register(service);
    }
    pool.kept.set(enginesKeptFree);
    if (enginesKeptFree > 0 && placement instanceof Placement.Full) {
      registry.counter(REFUSED_COUNTER, "service", service.value()).increment();
    }
    long now = timing.nanoTime();
    if (enginesKeptFree != pool.loggedKept && now - pool.loggedNanos >= LOG_PERIOD.toNanos()) {
      log.write(
          "placing.engines_kept_free",
          ImmutableMap.of(
              "service", service.value(), "before", pool.loggedKept, "engines", enginesKeptFree));
      pool.loggedKept = enginesKeptFree;
      pool.loggedNanos = now;
    }
  }

  private Pool register(ServiceName service) {
    Pool pool = new Pool();
    pool.loggedNanos = timing.nanoTime() - LOG_PERIOD.toNanos();
    pools.put(service, pool);
    Gauge.builder(KEPT_GAUGE, pool.kept, AtomicInteger::get)
        .tag("service", service.value())
        .register(registry);
    return pool;
  }
}
