package dev.apricotmill.node.relay;

import dev.apricotmill.core.relay.RelayRefusal;
import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;

/** Counters and latency histograms of the relay. */
final class RelayMetrics {

  private static final String REFUSALS_COUNTER = "apricotmill.relay.refused";
  private static final String PASSED_ON_COUNTER = "apricotmill.relay.passed_on";
  private static final String FAILED_SENDS_COUNTER = "apricotmill.relay.failed_sends";
  private static final String LEAVING_COUNTER = "apricotmill.relay.servers_leaving";

  private final MeterRegistry registry;
  private final Timer firstEventTimer;
  private final Timer responseTimer;
  private final Counter retries;
  private final Counter resumes;
  private final Counter callersGone;
  private final Counter pauses;
  private final Counter cappedPauses;
  private final Counter namedLimits;
  private final Counter failingServers;

  RelayMetrics(
      MeterRegistry registry, AtomicInteger openRequestCount, Supplier<Number> bufferedBytes) {
    this.registry = registry;
    firstEventTimer = timer("apricotmill.relay.first_event");
    responseTimer = timer("apricotmill.relay.answer");
    retries = registry.counter("apricotmill.relay.retries");
    resumes = registry.counter("apricotmill.relay.resumed");
    callersGone = registry.counter("apricotmill.relay.callers_gone");
    pauses = registry.counter("apricotmill.relay.server_pauses");
    cappedPauses = registry.counter("apricotmill.relay.server_pauses_capped");
    namedLimits = registry.counter("apricotmill.relay.limits_named");
    failingServers = registry.counter("apricotmill.relay.server_weights_lowered");
    Gauge.builder("apricotmill.relay.open", openRequestCount, AtomicInteger::get)
        .register(registry);
    Gauge.builder("apricotmill.relay.buffered_bytes", bufferedBytes).register(registry);
  }

  /** Adds the gauge of evacuated zones, where evacuations are in force. */
  void registerEvacuatedZones(Supplier<Number> count) {
    Gauge.builder("apricotmill.relay.evacuated.zones", count).register(registry);
  }

  /** Registers how many servers are cold, and how many start slowly. */
  void registerRamps(ServerRamps ramps) {
    Gauge.builder("apricotmill.relay.servers.cold", ramps, ServerRamps::coldCount)
        .register(registry);
    Gauge.builder("apricotmill.relay.servers.ramping", ramps, ServerRamps::rampCount)
        .register(registry);
  }

  private Timer timer(String name) {
    return Timer.builder(name)
        .serviceLevelObjectives(
            Duration.ofMillis(100),
            Duration.ofMillis(300),
            Duration.ofSeconds(1),
            Duration.ofSeconds(3),
            Duration.ofSeconds(10))
        .register(registry);
  }

  void recordFirstEvent(long nanos) {
    firstEventTimer.record(Duration.ofNanos(nanos));
  }

  void recordEnd(long nanos) {
    responseTimer.record(Duration.ofNanos(nanos));
  }

  void recordRefusal(RelayRefusal refusal) {
    registry.counter(REFUSALS_COUNTER, "reason", refusal.name()).increment();
  }

  /** Counts a server's response that was passed on to its caller. */
  void recordPassedOn(int status) {
    registry.counter(PASSED_ON_COUNTER, "status", Integer.toString(status)).increment();
  }

  /** Counts an attempt that ended without a response that could be used. */
  void recordFailedSend(BackendFailure failure) {
    registry.counter(FAILED_SENDS_COUNTER, "reason", failure.name()).increment();
  }

  /** Counts a server that was marked as leaving. */
  void recordLeavingServer(LeavingServers.Source source) {
    registry.counter(LEAVING_COUNTER, "source", source.name()).increment();
  }

  void recordRetry() {
    retries.increment();
  }

  void recordResume() {
    resumes.increment();
  }

  void recordCallerGone() {
    callersGone.increment();
  }

  /** Counts a pause that a server asked for. */
  void recordPause() {
    pauses.increment();
  }

  /** Counts a response that asked for a longer pause than is kept. */
  void recordCappedPause() {
    cappedPauses.increment();
  }

  /** Counts a response that named a limit of requests a second. */
  void recordNamedLimit() {
    namedLimits.increment();
  }

  /** Counts a server that gets few requests because of how it answers. */
  void recordFailingServer() {
    failingServers.increment();
  }
}
